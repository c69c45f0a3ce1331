//! How urgent a request is.

/// A stock check or a waiting crew is `Interactive`; a draft that nobody waits
/// for is `Background`.
export enum Priority {
  Interactive = "interactive",
  Background = "background",
}
