declare module "javascript-lp-solver" {
  const solver: { Solve(model: object): unknown };
  export default solver;
}
