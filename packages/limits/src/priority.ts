//! Request priorities.

/// `Interactive` requests have a person waiting for the answer, for example a stock check or
/// a crew on site; `Background` requests, for example drafts, do not.
export enum Priority {
  Interactive = "interactive",
  Background = "background",
}
