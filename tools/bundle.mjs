// Bundles the entry VM's program into a single file under target/, directly from the
// TypeScript sources of the workspace. One file shortens the start of a process and
// needs no separate build step.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/lovagebend.mjs",
  bundle: true,
  minify: true,
  platform: "node",
  target: "node20",
  format: "esm",
  legalComments: "none",
  // The ES modules of rxjs allow tree shaking; the CommonJS modules that Node resolves
  // do not.
  alias: { rxjs: "./node_modules/rxjs/dist/esm/index.js" },
  // Bundled CommonJS packages call require for Node's built-in modules.
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
  plugins: [
    {
      name: "workspace sources",
      setup({ onResolve }) {
        onResolve({ filter: /^@lovagebend\// }, ({ path }) => ({
          path: new URL(
            `../packages/${path.slice("@lovagebend/".length)}/src/index.ts`,
            import.meta.url,
          ).pathname,
          sideEffects: false,
        }));
      },
    },
  ],
});
