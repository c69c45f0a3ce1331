//! The schema of one team's subtree.
import { validate, type ValidationIssue } from "@lovagebend/common";
import type { Result } from "true-myth";
import { z } from "zod";

export enum RouteKind {
  Model = "model",
  Service = "service",
}

export enum TargetKind {
  Engine = "engine",
  Service = "service",
}

/// What a deployment weighs more. `Throughput` fills every target to its bound;
/// `Recovery` keeps a reserve on each layer range, so that a lost target's work
/// finds room at once.
export enum Weighting {
  Throughput = "throughput",
  Recovery = "recovery",
}

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "a name of a-z, 0-9 and -");
const digest = z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 digest in lower-case hexadecimal");
const host = z.union([z.ipv4(), z.ipv6()], "an IP number");
const port = z.number("a port number").int().min(1).max(65_535);

const modelRoute = z.strictObject({ kind: z.literal(RouteKind.Model), pipeline: name });
const serviceRoute = z.strictObject({
  kind: z.literal(RouteKind.Service),
  service: name,
  repeatable: z.boolean(),
});

const pipeline = z.strictObject({
  layers: z.number().int().min(1).max(1_000),
  version: z.string().min(1).max(100),
  weighting: z.enum(Weighting).default(Weighting.Throughput),
});

const address = { host, port, dataCentre: name, checksFencing: z.boolean() };
const engineTarget = z
  .strictObject({
    kind: z.literal(TargetKind.Engine),
    ...address,
    pipeline: name,
    firstLayer: z.number().int().min(0),
    endLayer: z.number().int().min(1),
    accelerator: name,
    tokensPerSecond: z.number().positive(),
  })
  .refine((target) => target.firstLayer < target.endLayer, {
    path: ["endLayer"],
    error: "a layer after firstLayer",
  });
const serviceTarget = z.strictObject({
  kind: z.literal(TargetKind.Service),
  ...address,
  service: name,
});

const workspace = z.strictObject({
  weight: z.number().positive().max(1_000),
  tokenDigest: digest,
  routes: z.array(name).max(1_000),
});

const limits = z.strictObject({
  queueMilliseconds: z.number().int().min(10).max(60_000).default(2_000),
  requestMilliseconds: z.number().int().min(100).max(3_600_000).default(600_000),
});

const objective = z.strictObject({
  route: name,
  firstTokenMilliseconds: z.number().positive(),
  share: z.number().gt(0).lt(1),
});

const teamDocument = z.strictObject({
  routes: z.record(name, z.discriminatedUnion("kind", [modelRoute, serviceRoute])).default({}),
  pipelines: z.record(name, pipeline).default({}),
  targets: z.record(name, z.discriminatedUnion("kind", [engineTarget, serviceTarget])).default({}),
  workspaces: z.record(name, workspace).default({}),
  limits: limits.optional(),
  objectives: z.record(name, objective).default({}),
});

/// A team's subtree. Names are unique across all teams.
export type TeamDocument = z.output<typeof teamDocument>;
export type ModelRoute = z.output<typeof modelRoute>;
export type ServiceRoute = z.output<typeof serviceRoute>;
export type RouteSettings = ModelRoute | ServiceRoute;
export type PipelineSettings = z.output<typeof pipeline>;
/// Holds the layers from `firstLayer` up to, not including, `endLayer`.
export type EngineTarget = z.output<typeof engineTarget>;
export type ServiceTarget = z.output<typeof serviceTarget>;
export type TargetSettings = EngineTarget | ServiceTarget;
/// `tokenDigest` is the SHA-256 of the workspace's bearer token.
export type WorkspaceSettings = z.output<typeof workspace>;
export type LimitSettings = z.output<typeof limits>;
/// `share` of the requests must see their first token in time.
export type Objective = z.output<typeof objective>;

/// Validates a team's subtree and fills in defaults.
export function parseTeamDocument(value: unknown): Result<TeamDocument, ValidationIssue[]> {
  return validate(teamDocument as z.ZodType<TeamDocument>, value);
}
