//! Seeded exploration of the router's decisions in a small world of fakes, and the
//! judge that decides whether the promises held.
export { explore, type Exploration, type Scenario } from "./explore.js";
export { scenarios } from "./scenarios.js";
export { judgeAnswer, judgeBookings, type LayerRun } from "./judge.js";
