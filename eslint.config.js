import eslint from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
  {
    ignores: [
      "**/dist/**",
      "target/**",
      "journal/**",
      "node_modules/**",
      "tap-snapshots/**",
      ".tap/**",
    ],
  },
  {
    files: ["packages/**/*.ts", "platform/**/*.ts"],
    extends: [
      eslint.configs.recommended,
      ...tseslint.configs.strictTypeChecked,
      ...tseslint.configs.stylisticTypeChecked,
    ],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      "@typescript-eslint/restrict-template-expressions": [
        "error",
        { allowNumber: true, allowBoolean: true },
      ],
      "@typescript-eslint/switch-exhaustiveness-check": "error",
      "no-restricted-properties": [
        "error",
        {
          object: "AbortSignal",
          property: "any",
          message: "It loses timeouts and leaves entries at its sources; use withAnySignal.",
        },
      ],
    },
  },
  {
    // tap follows the promises of its subtests itself.
    files: ["packages/*/test/**/*.ts", "platform/test/**/*.ts"],
    rules: { "@typescript-eslint/no-floating-promises": "off" },
  },
);
