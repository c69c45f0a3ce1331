//! The narrow adapters through which the router meets the platform. The formats
//! are those of docs/INTERFACES.md; another platform needs other adapters only.
export type {
  Row,
  RowCondition,
  RowWrite,
  TableService,
  TransactOutcome,
} from "./table-service.js";
export { StoreSilence } from "./table-service.js";
export { httpTableService } from "./http-table-service.js";
export type { ObjectStore } from "./object-store.js";
export { httpObjectStore } from "./object-store.js";
export type { ListedMachine, MachineList, MachineListSource } from "./machine-list.js";
export { ListedState, httpMachineList } from "./machine-list.js";
