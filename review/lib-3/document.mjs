// The operator's document of the cases: a model behind a resumable route, and a plain service behind a
// route that may be repeated and one that may not.
import { apiKey } from "./case.mjs";
import { card, layerCount, layerMegabytes } from "./targets.mjs";

export const tenant = "guild";

const route = (name, route_kind, service, fields) => ({
  name,
  host: "guild.example",
  path_prefix: `/${name}/`,
  route_kind,
  service,
  priority: 1,
  public: false,
  ...fields,
});

export const document = {
  version: 7,
  routes: [
    route("advice", "streaming", "writer", {
      timeout_ms: 20_000,
      slo_ms: 500,
      max_attempts: 2,
      resumable: true,
      sticky: true,
      gap_target_ms: 200,
    }),
    route("order", "non_idempotent", "desk", { timeout_ms: 3_000, slo_ms: 386, max_attempts: 1 }),
    route("stock", "idempotent", "desk", { timeout_ms: 3_000, slo_ms: 386, max_attempts: 2 }),
  ],
  services: [
    {
      name: "writer",
      health_path: "/healthz",
      max_conns: 1_078,
      engine: {
        layers: layerCount,
        layer_mb: layerMegabytes,
        kv_bytes: 327_680,
        step_ms: 0.85,
        per_seq_ms: 0.01,
        context_per_k: 0.001,
        stride: 2,
        chunk: 512,
        read_per_s: 252_000,
        pairs_per_m: 0.01,
        slots: 134,
        loads_at_once: 16,
        act_bytes: 16_384,
        link_mbps: 10_000,
        pipe_mbps: 7_900,
        report_lag_ms: 200,
        usual: { prompt: 760, answer: 77 },
        models: [{ name: "m0", load_s: 1 }],
        kinds: [card],
        delays: {},
      },
    },
    { name: "desk", health_path: "/healthz", max_conns: 110 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 5_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: tenant, api_keys: [apiKey] }],
};
