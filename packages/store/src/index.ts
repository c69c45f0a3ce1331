//! Access to the durable row store: the interface of a store, a change feed for one table,
//! and an in-memory replica of a table.
export type { ChangeFeedResult, TableSnapshot, RowStore, StoredRow } from "./row-store.js";
export {
  followTable,
  type FeedTiming,
  type TableChange,
  type FollowTableOptions,
} from "./table-follower.js";
export { initialEra, isEra, StoreEra, storeSource, type Era, type EraChange } from "./store-era.js";
export { isLater, type Revision } from "./revision.js";
export { TableReplica, type TableTransfer } from "./table-replica.js";
