//! The store of rows in which what must last is kept: its port, and the task that
//! follows a table.
export type { FeedOutcome, RangeOutcome, RowStore, StoredRow } from "./row-store.js";
export {
  followTable,
  type FeedPace,
  type TableChange,
  type TableFollower,
} from "./table-follower.js";
export { TableReplica } from "./table-replica.js";
