//! Handles `POST /v1/chat/completions`: answers of models, streamed or in one body. An
//! answer that was interrupted can be resumed with its resume token.
import {
  describeIssues,
  ErrorKind,
  parseJson,
  RouterError,
  RunState,
  type Milliseconds,
  readBody,
} from "@lovagebend/common";
import { Priority, type Admission } from "@lovagebend/limits";
import { runAnswer, type AnswerToken, type ResumePosition } from "@lovagebend/pipeline";
import {
  tokensPerBlock,
  computePrefixCredit,
  choosePrefixHomes,
  computePrefixKeys,
} from "@lovagebend/routing";
import { RouteKind, type SettingsView } from "@lovagebend/settings";
import type http from "node:http";
import { z } from "zod";
import { createErrorBody, sendJson } from "./http-server.js";
import type { CallerRequest, Router } from "./router.js";

const maximumBodyBytes = 1024 * 1024;
const interactiveStepPriority = 10;
const backgroundStepPriority = 0;

const chatRequestSchema = z.object({
  model: z.string(),
  messages: z
    .array(z.object({ role: z.enum(["system", "user", "assistant"]), content: z.string() }))
    .min(1),
  max_tokens: z.number().int().min(1).max(100_000).default(256),
  stream: z.boolean().default(false),
  priority: z.enum(Priority).default(Priority.Interactive),
  deadline_milliseconds: z.number().int().min(1).optional(),
  resume: z
    .object({ token: z.string().max(500), tokens: z.array(z.number().int()).max(100_000) })
    .optional(),
});
type ChatRequest = z.output<typeof chatRequestSchema>;

/// An answer that is ready to run: the prompt, the tokens that the caller already has, and
/// the position to continue from. `deadline` is a reading of the monotonic clock.
interface PreparedAnswer {
  readonly body: ChatRequest;
  readonly group: string;
  readonly layers: number;
  readonly position: ResumePosition;
  readonly promptTokens: readonly number[];
  readonly deliveredTokens: readonly number[];
  readonly deadline: Milliseconds;
}

/// Handles one request. Throws a `RouterError` on failure; if the response has started, an
/// error event ends its stream first.
export async function handleChatCompletion(
  router: Router,
  caller: CallerRequest,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const startedAt = router.clock.monotonicTime();
  const body = await readChatRequest(request);
  await router.turns.wait(response);
  const view = router.settings.view;
  const { group, layers, objective } = findPipeline(view, caller, body.model);
  const timeLimit = Math.min(
    body.deadline_milliseconds ?? view.limits.requestMilliseconds,
    view.limits.requestMilliseconds,
  );
  const deadline = startedAt + timeLimit;
  const abortController = new AbortController();
  const abort = (): void => {
    abortController.abort();
  };
  response.on("close", abort);
  router.gate.abortSignal.addEventListener("abort", abort);
  const timer = setTimeout(abort, deadline - router.clock.monotonicTime());
  let admission: Admission | undefined;
  try {
    const prepared = await prepareAnswer(router, caller, body, group, layers, deadline);
    admission = await admit(router, caller, prepared, view, abortController.signal);
    const timeToFirstToken = await runAndSend(
      router,
      caller,
      prepared,
      response,
      abortController.signal,
      startedAt,
    );
    const isWithinObjective =
      timeToFirstToken !== undefined &&
      timeToFirstToken <= (objective?.firstTokenMilliseconds ?? Infinity);
    recordOutcome(router, caller, objective?.name, isWithinObjective, timeToFirstToken);
  } catch (error) {
    recordOutcome(router, caller, objective?.name, false, undefined);
    throw endWithError(router, response, deadline, error);
  } finally {
    clearTimeout(timer);
    router.gate.abortSignal.removeEventListener("abort", abort);
    admission?.release();
  }
}

async function readChatRequest(request: http.IncomingMessage): Promise<ChatRequest> {
  const rawBody = await readBody(request, maximumBodyBytes);
  if (rawBody.isErr) throw rawBody.error;
  const parsed = parseJson(
    chatRequestSchema as z.ZodType<ChatRequest>,
    rawBody.value.toString("utf8"),
  );
  if (parsed.isOk) return parsed.value;
  const detail = describeIssues(parsed.error);
  throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, detail);
}

function findPipeline(view: SettingsView, caller: CallerRequest, name: string) {
  const route = view.routes.get(name);
  if (route?.kind !== RouteKind.Model)
    throw new RouterError(ErrorKind.UnknownRoute, RunState.NotRun);
  if (!caller.routes.includes(name)) throw new RouterError(ErrorKind.Forbidden, RunState.NotRun);
  const entry = [...view.objectives].find(([, candidate]) => candidate.route === name);
  const objective = entry === undefined ? undefined : { name: entry[0], ...entry[1] };
  return {
    group: route.pipeline,
    layers: view.pipelines.get(route.pipeline)?.layers ?? 0,
    objective,
  };
}

async function prepareAnswer(
  router: Router,
  caller: CallerRequest,
  body: ChatRequest,
  group: string,
  layers: number,
  deadline: Milliseconds,
): Promise<PreparedAnswer> {
  const prompt = body.messages.map((message) => message.content).join("\n");
  const context = JSON.stringify([caller.workspace, body.model, prompt, body.max_tokens]);
  const deliveredTokens = body.resume?.tokens ?? [];
  const position =
    body.resume === undefined
      ? router.resumeKey.startPosition(caller.id, context)
      : router.resumeKey.verify(body.resume.token, context, deliveredTokens);
  if (position === undefined) throw new RouterError(ErrorKind.ResumeInvalid, RunState.NotRun);
  const promptTokens = await tokenize(router, group, prompt);
  return { body, group, layers, position, promptTokens, deliveredTokens, deadline };
}

async function tokenize(router: Router, group: string, text: string): Promise<readonly number[]> {
  const firstStageTargets = router.fleet.view
    .getServingTargets(group)
    .filter((target) => target.firstLayer === 0);
  for (const target of firstStageTargets) {
    const tokens = await router.engines.control(target.name)?.tokenize(text);
    if (tokens?.isOk === true && tokens.value.length > 0) return tokens.value;
    if (tokens?.isOk === true) {
      throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, "The prompt is empty.");
    }
    router.fleet.recordFailure(target.name);
  }
  throw new RouterError(ErrorKind.NoPath, RunState.NotRun, "Layer 0 is held by no live target.", 1);
}

async function admit(
  router: Router,
  caller: CallerRequest,
  prepared: PreparedAnswer,
  view: SettingsView,
  signal: AbortSignal,
): Promise<Admission> {
  const { group, body, deadline, promptTokens, deliveredTokens } = prepared;
  const cost = promptTokens.length + body.max_tokens - deliveredTokens.length;
  router.admissions.recordDemand(group, caller.workspace, cost, view);
  const admissionRequest = { workspace: caller.workspace, priority: body.priority, cost, deadline };
  const admission = await router.admissions.queue(group, view).admit(admissionRequest, signal);
  if (admission.isErr) throw admission.error;
  router.metrics.timing("queue.wait", admission.value.waitTime, { group });
  return admission.value;
}

// Returns the time to the first token, or `undefined` for an answer without tokens.
async function runAndSend(
  router: Router,
  caller: CallerRequest,
  prepared: PreparedAnswer,
  response: http.ServerResponse,
  signal: AbortSignal,
  startedAt: Milliseconds,
): Promise<Milliseconds | undefined> {
  const sender = prepared.body.stream
    ? new EventStreamSender(response, caller.id)
    : new SingleBodySender(response, caller.id, router.resumeKey.formatToken(prepared.position));
  let position = prepared.position;
  let lastTokenAt = router.clock.monotonicTime();
  let timeToFirstToken: Milliseconds | undefined;
  for await (const token of runAnswer(
    createAnswerRequest(router, prepared),
    createAnswerOptions(router, caller, prepared),
    signal,
  )) {
    const now = router.clock.monotonicTime();
    if (timeToFirstToken === undefined) timeToFirstToken = now - startedAt;
    else router.admissions.recordTokenInterval(prepared.group, now - lastTokenAt);
    lastTokenAt = now;
    position = router.resumeKey.advance(position, token.token);
    await sender.sendToken(token, router.resumeKey.formatToken(position), signal);
  }
  sender.end();
  return timeToFirstToken;
}

function createAnswerRequest(router: Router, prepared: PreparedAnswer) {
  const { body, position, promptTokens, deliveredTokens, layers } = prepared;
  return {
    sequencePrefix: `${position.request}.${router.instance}.${router.createId()}`,
    tokens: [...promptTokens, ...deliveredTokens],
    maximumTokens: body.max_tokens - deliveredTokens.length,
    layers,
    priority:
      body.priority === Priority.Interactive ? interactiveStepPriority : backgroundStepPriority,
    prefixKeys: computePrefixKeys(promptTokens),
  };
}

function createAnswerOptions(router: Router, caller: CallerRequest, prepared: PreparedAnswer) {
  const { group, promptTokens } = prepared;
  const prefixKeys = computePrefixKeys(promptTokens);
  const prefixHomes = choosePrefixHomes(
    prefixKeys.at(-1) ?? "",
    router.fleet.view.getServingTargets(group),
  );
  router.retryBudget.recordFirstAttempt();
  return {
    clock: router.clock,
    candidates: () => router.fleet.view.getServingTargets(group),
    penalty: (target: { readonly name: string; readonly tokensPerSecond: number }) => {
      const knownCachedTokens = router.prefixes.cachedTokens(target.name, prefixKeys);
      const cachedTokens = prefixHomes.has(target.name)
        ? prefixKeys.length * tokensPerBlock
        : knownCachedTokens;
      return computePrefixCredit(cachedTokens, target, prepared.body.max_tokens);
    },
    channel: (target: string) => router.engines.channel(target),
    control: (target: string) => router.engines.control(target),
    isLeaving: (target: string) => router.fleet.isLeaving(target),
    recordStep: (target: string, tokens: number, sentAt: Milliseconds) => {
      router.fleet.recordStep(target, tokens, sentAt);
    },
    adjustOpenAnswers: (target: string, change: 1 | -1) => {
      router.fleet.adjustOpenAnswers(target, change);
    },
    trySpendRetry: () => router.retryBudget.trySpend(),
    onStageReplaced: (event: { readonly lost: string; readonly reason: string }) => {
      if (event.reason !== "leaving") router.fleet.markDown(event.lost);
      router.metrics.increment("stage.replaced", 1, { target: event.lost });
      router.logger.warn("stage replaced", { request: caller.id, ...event });
    },
  };
}

function recordOutcome(
  router: Router,
  caller: CallerRequest,
  objective: string | undefined,
  isGood: boolean,
  firstTokenMilliseconds: Milliseconds | undefined,
): void {
  if (firstTokenMilliseconds !== undefined) {
    router.metrics.timing("answer.first_token", firstTokenMilliseconds);
  }
  if (objective === undefined) return;
  const outcome = { workspace: caller.workspace, objective, good: isGood, firstTokenMilliseconds };
  router.burn.record(outcome, router.clock.wallClockTime());
}

// Returns the error to report. An aborted answer is reported with the reason for the abort:
// a stop of this entry VM, the deadline, or a disconnected caller. If the response has
// started, an error event ends the stream.
function endWithError(
  router: Router,
  response: http.ServerResponse,
  deadline: Milliseconds,
  error: unknown,
): RouterError {
  let reportedError =
    error instanceof RouterError ? error : new RouterError(ErrorKind.Internal, RunState.Unknown);
  if (reportedError.kind === ErrorKind.CallerGone) {
    if (router.gate.abortSignal.aborted) {
      reportedError = new RouterError(
        ErrorKind.AnswerInterrupted,
        reportedError.run,
        "This entry VM stopped.",
        1,
      );
    } else if (router.clock.monotonicTime() >= deadline) {
      reportedError = new RouterError(ErrorKind.DeadlineExceeded, reportedError.run);
    }
  }
  if (response.headersSent && !response.writableEnded) {
    response.end(`event: error\ndata: ${JSON.stringify(createErrorBody(reportedError, ""))}\n\n`);
  }
  return reportedError;
}

/// Sends tokens as server-sent events. The identifier of each event is the resume token.
class EventStreamSender {
  constructor(
    private readonly response: http.ServerResponse,
    private readonly id: string,
  ) {}

  async sendToken(token: AnswerToken, resumeToken: string, signal: AbortSignal): Promise<void> {
    if (!this.response.headersSent) {
      const headers = { "content-type": "text/event-stream", "cache-control": "no-store" };
      this.response.writeHead(200, { ...headers, "lovagebend-request": this.id });
    }
    const delta = { content: token.text, token: token.token };
    const chunk = { id: this.id, object: "chat.completion.chunk", choices: [{ index: 0, delta }] };
    const hasBufferSpace = this.response.write(
      `id: ${resumeToken}\ndata: ${JSON.stringify(chunk)}\n\n`,
    );
    if (!hasBufferSpace && !signal.aborted) await waitForDrain(this.response, signal);
  }

  end(): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, { "content-type": "text/event-stream" });
    }
    this.response.end("data: [DONE]\n\n");
  }
}

/// Collects the tokens and sends them in one body.
class SingleBodySender {
  private text = "";
  private readonly tokens: number[] = [];

  constructor(
    private readonly response: http.ServerResponse,
    private readonly id: string,
    private resumeToken: string,
  ) {}

  sendToken(token: AnswerToken, resumeToken: string): Promise<void> {
    this.text += token.text;
    this.tokens.push(token.token);
    this.resumeToken = resumeToken;
    return Promise.resolve();
  }

  end(): void {
    const message = { role: "assistant", content: this.text, tokens: this.tokens };
    sendJson(this.response, 200, {
      id: this.id,
      object: "chat.completion",
      choices: [{ index: 0, message, finish_reason: "stop" }],
      resume_token: this.resumeToken,
    });
  }
}

function waitForDrain(response: http.ServerResponse, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      response.off("drain", done);
      signal.removeEventListener("abort", done);
      resolve();
    };
    response.on("drain", done);
    signal.addEventListener("abort", done);
  });
}
