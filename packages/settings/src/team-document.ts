//! The schema of one team's subtree of the settings.
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

/// The goal that admission to a pipeline favours. `Throughput` uses the full capacity of each
/// target; `Recovery` keeps a reserve on each layer range, so that other targets can take over
/// the work of a lost target immediately.
export enum Weighting {
  Throughput = "throughput",
  Recovery = "recovery",
}

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "a name of a-z, 0-9 and -");
const digestSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, "a SHA-256 digest in lower-case hexadecimal");
const hostSchema = z.union([z.ipv4(), z.ipv6()], "an IP address");
const portSchema = z.number("a port number").int().min(1).max(65_535);

const modelRouteSchema = z.strictObject({ kind: z.literal(RouteKind.Model), pipeline: nameSchema });
const serviceRouteSchema = z.strictObject({
  kind: z.literal(RouteKind.Service),
  service: nameSchema,
  repeatable: z.boolean(),
});

const pipelineSchema = z.strictObject({
  layers: z.number().int().min(1).max(1_000),
  version: z.string().min(1).max(100),
  weighting: z.enum(Weighting).default(Weighting.Throughput),
});

const addressFields = {
  host: hostSchema,
  port: portSchema,
  dataCentre: nameSchema,
  checksFencing: z.boolean(),
};
const engineTargetSchema = z
  .strictObject({
    kind: z.literal(TargetKind.Engine),
    ...addressFields,
    pipeline: nameSchema,
    firstLayer: z.number().int().min(0),
    endLayer: z.number().int().min(1),
    accelerator: nameSchema,
    tokensPerSecond: z.number().positive(),
  })
  .refine((target) => target.firstLayer < target.endLayer, {
    path: ["endLayer"],
    error: "a layer after firstLayer",
  });
const serviceTargetSchema = z.strictObject({
  kind: z.literal(TargetKind.Service),
  ...addressFields,
  service: nameSchema,
});

const workspaceSchema = z.strictObject({
  weight: z.number().positive().max(1_000),
  tokenDigest: digestSchema,
  routes: z.array(nameSchema).max(1_000),
});

const limitsSchema = z.strictObject({
  queueMilliseconds: z.number().int().min(10).max(60_000).default(2_000),
  requestMilliseconds: z.number().int().min(100).max(3_600_000).default(600_000),
});

const objectiveSchema = z.strictObject({
  route: nameSchema,
  firstTokenMilliseconds: z.number().positive(),
  share: z.number().gt(0).lt(1),
});

const teamDocumentSchema = z.strictObject({
  routes: z
    .record(nameSchema, z.discriminatedUnion("kind", [modelRouteSchema, serviceRouteSchema]))
    .default({}),
  pipelines: z.record(nameSchema, pipelineSchema).default({}),
  targets: z
    .record(nameSchema, z.discriminatedUnion("kind", [engineTargetSchema, serviceTargetSchema]))
    .default({}),
  workspaces: z.record(nameSchema, workspaceSchema).default({}),
  limits: limitsSchema.optional(),
  objectives: z.record(nameSchema, objectiveSchema).default({}),
});

/// A team's validated subtree. Names must be unique across all teams.
export type TeamDocument = z.output<typeof teamDocumentSchema>;
export type ModelRoute = z.output<typeof modelRouteSchema>;
export type ServiceRoute = z.output<typeof serviceRouteSchema>;
export type RouteSettings = ModelRoute | ServiceRoute;
export type PipelineSettings = z.output<typeof pipelineSchema>;
/// Holds the layers from `firstLayer` up to, not including, `endLayer`.
export type EngineTarget = z.output<typeof engineTargetSchema>;
export type ServiceTarget = z.output<typeof serviceTargetSchema>;
export type TargetSettings = EngineTarget | ServiceTarget;
/// `tokenDigest` is the SHA-256 of the workspace's bearer token.
export type WorkspaceSettings = z.output<typeof workspaceSchema>;
export type LimitSettings = z.output<typeof limitsSchema>;
/// A service-level objective: the fraction `share` of the requests must receive their first
/// token within `firstTokenMilliseconds`.
export type Objective = z.output<typeof objectiveSchema>;

/// Validates a team's subtree and sets the defaults of absent values.
export function parseTeamDocument(value: unknown): Result<TeamDocument, ValidationIssue[]> {
  return validate(teamDocumentSchema as z.ZodType<TeamDocument>, value);
}
