//! The rate limit of log lines.

use super::*;

#[test]
fn a_call_site_that_logs_constantly_is_suppressed_until_the_next_second() {
    let rate_limit = RateLimit::default();
    let allowed = |line, second| (0..100).filter(|_| rate_limit.allows(("a.rs", line), second)).count();
    assert_eq!((allowed(1, 1), allowed(1, 1), allowed(1, 2)), (5, 0, 5));
    assert_eq!(allowed(9, 2), 5, "call sites have separate limits");
}
