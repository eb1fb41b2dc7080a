//! Choice of a target, account limits, admission, ejection, retry budget.
