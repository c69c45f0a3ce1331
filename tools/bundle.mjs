// Bundles the entry VM's program into one file under target/, from the sources of the
// workspace, so that a process starts quickly and needs no other build step.
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
  // Its modules for bundlers; the ones that Node would take cannot be cut to what is used.
  alias: { rxjs: "./node_modules/rxjs/dist/esm/index.js" },
  // Bundled CommonJS packages call require for Node's own modules.
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
