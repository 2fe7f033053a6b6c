//! The audit log's hash chain detects removed, changed and reordered lines, and lines stay pending
//! until they are stored.

use mulberryspur::audit_log::{AuditLog, Verifier};
use serde_json::json;

fn log_lines(count: usize) -> Vec<String> {
    let log = AuditLog::new("entry-1-ab", 1_000);
    (0..count).for_each(|n| log.append("request", json!({ "n": n })));
    log.next_batch(1_000).unwrap().lines
}

fn fault_seqs(lines: &[String]) -> Vec<u64> {
    let mut verifier = Verifier::new();
    for line in lines {
        let _ = verifier.check_line(line);
    }
    verifier.into_faults().into_iter().map(|f| f.seq).collect()
}

macro_rules! tampered {
    ($($name:ident: $edit:expr => $seqs:expr;)*) => {
        $(#[test] fn $name() {
            let mut all = log_lines(6);
            let edit: fn(&mut Vec<String>) = $edit;
            edit(&mut all);
            let expected: Vec<u64> = $seqs;
            assert_eq!(fault_seqs(&all), expected);
        })*
    };
}

tampered! {
    untouched: |_| {} => vec![];
    line_removed: |l| { l.remove(2); } => vec![3];
    first_line_removed: |l| { l.remove(0); } => vec![1];
    line_changed: |l| l[2] = l[2].replace("\"n\":2", "\"n\":9") => vec![4];
    time_changed: |l| l[3] = l[3].replacen("\"at\":", "\"at\":1", 1) => vec![5];
    lines_swapped: |l| l.swap(1, 2) => vec![2, 2, 3];
    line_repeated: |l| { let line = l[2].clone(); l.insert(3, line); } => vec![3];
}

#[test]
fn lines_wait_until_they_are_stored() {
    let log = AuditLog::new("entry-1-ab", 3);
    (0..3).for_each(|n| log.append("request", json!({ "n": n })));
    assert!(log.is_full());
    let batch = log.next_batch(2).unwrap();
    assert_eq!((batch.first_seq, batch.lines.len()), (1, 2));
    assert_eq!(log.next_batch(2).unwrap(), batch, "a batch that was not stored is offered again");
    log.mark_stored(&batch);
    assert_eq!(log.pending_lines(), 1);
    assert_eq!(log.next_batch(2).unwrap().first_seq, 3);
}
