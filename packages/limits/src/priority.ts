//! Request priorities.

/// An `Interactive` request has someone waiting for its answer, for example a stock check or
/// a request of a working crew; a `Background` request, for example a draft, does not.
export enum Priority {
  Interactive = "interactive",
  Background = "background",
}
