//! How long the heads of requests may be: those of callers, and those that entry VMs relay to each other.
//! Node counts the bytes of the path and of the names and values of the fields.

/// The limit on the head of a caller's request. It is fixed when the server is created, so the operator's
/// settings do not change it.
export const maximumHeadBytes = 32 * 1024;

/// The limit on the head of a request that a peer relays: one of a caller, with the fields that the relay
/// adds or replaces. These take some 100 bytes and the configured name of the deadline.
export const maximumRelayedHeadBytes = maximumHeadBytes + 1024;
