//! Deterministic simulation testing of the router: seeded exploration of fault schedules
//! against fakes of its dependencies, and a checker that verifies the invariants
//! independently of the router's code.
export { explore, type Exploration, type Scenario } from "./explore.js";
export { scenarios } from "./scenarios.js";
export { checkAnswer, checkBookings, type LayerRun } from "./checker.js";
