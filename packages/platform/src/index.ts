//! Adapters between the router and the platform: the table service, the object store and the
//! list of VMs. docs/INTERFACES.md describes the formats. To run on another platform, only
//! these adapters have to be replaced.
export type {
  Row,
  RowCondition,
  RowWrite,
  TableService,
  TransactOutcome,
} from "./table-service.js";
export { StoreError } from "./table-service.js";
export { createHttpTableService } from "./http-table-service.js";
export type { ObjectStore } from "./object-store.js";
export { createHttpObjectStore } from "./object-store.js";
export type { ListedMachine, MachineList, MachineListSource } from "./machine-list.js";
export { ListedState, createHttpMachineListSource } from "./machine-list.js";
