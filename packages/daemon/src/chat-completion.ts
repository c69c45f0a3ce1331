//! Answers of models: `POST /v1/chat/completions`, streamed or whole.
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
import { blockTokens, prefixCredit, prefixHomes, prefixKeys } from "@lovagebend/routing";
import { RouteKind, type SettingsView } from "@lovagebend/settings";
import type http from "node:http";
import { z } from "zod";
import { errorBody, sendJson } from "./http-reply.js";
import type { CallerRequest, Router } from "./router.js";

const largestBodyBytes = 1024 * 1024;
const interactiveRank = 10;
const backgroundRank = 0;

const chatRequest = z.object({
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
type ChatRequest = z.output<typeof chatRequest>;

/// An answer about to run: its prompt, the tokens already given to the caller, and
/// where it stands.
interface Prepared {
  readonly body: ChatRequest;
  readonly group: string;
  readonly layers: number;
  readonly position: ResumePosition;
  readonly promptTokens: readonly number[];
  readonly givenTokens: readonly number[];
  readonly deadline: Milliseconds;
}

/// Serves one request. Throws a `RouterError` while nothing has been sent; after that
/// the stream ends with an error event.
export async function chatCompletion(
  router: Router,
  caller: CallerRequest,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const begin = router.clock.monotonic();
  const body = await readChatRequest(request);
  const view = router.settings.view;
  const { group, layers, objective } = findPipeline(view, caller, body.model);
  const limit = Math.min(
    body.deadline_milliseconds ?? view.limits.requestMilliseconds,
    view.limits.requestMilliseconds,
  );
  const deadline = begin + limit;
  const stop = new AbortController();
  const cancel = (): void => {
    stop.abort();
  };
  response.on("close", cancel);
  router.gate.cutSignal.addEventListener("abort", cancel);
  const timer = setTimeout(cancel, limit);
  let admission: Admission | undefined;
  try {
    const prepared = await prepare(router, caller, body, group, layers, deadline);
    admission = await admit(router, caller, prepared, view, stop.signal);
    const sent = await runAndSend(router, caller, prepared, response, stop.signal, begin);
    const inTime = sent !== undefined && sent <= (objective?.firstTokenMilliseconds ?? Infinity);
    record(router, caller, objective?.name, inTime, sent);
  } catch (error) {
    record(router, caller, objective?.name, false, undefined);
    throw cutShort(router, response, deadline, error);
  } finally {
    clearTimeout(timer);
    router.gate.cutSignal.removeEventListener("abort", cancel);
    admission?.release();
  }
}

async function readChatRequest(request: http.IncomingMessage): Promise<ChatRequest> {
  const raw = await readBody(request, largestBodyBytes);
  if (raw.isErr) throw raw.error;
  const parsed = parseJson(chatRequest as z.ZodType<ChatRequest>, raw.value.toString("utf8"));
  if (parsed.isOk) return parsed.value;
  const detail = describeIssues(parsed.error);
  throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, detail);
}

function findPipeline(view: SettingsView, caller: CallerRequest, name: string) {
  const route = view.routes.get(name);
  if (route?.kind !== RouteKind.Model)
    throw new RouterError(ErrorKind.UnknownRoute, RunState.NotRun);
  if (!caller.routes.includes(name)) throw new RouterError(ErrorKind.Forbidden, RunState.NotRun);
  const found = [...view.objectives].find(([, candidate]) => candidate.route === name);
  const objective = found === undefined ? undefined : { name: found[0], ...found[1] };
  return {
    group: route.pipeline,
    layers: view.pipelines.get(route.pipeline)?.layers ?? 0,
    objective,
  };
}

async function prepare(
  router: Router,
  caller: CallerRequest,
  body: ChatRequest,
  group: string,
  layers: number,
  deadline: Milliseconds,
): Promise<Prepared> {
  const prompt = body.messages.map((message) => message.content).join("\n");
  const context = JSON.stringify([caller.workspace, body.model, prompt, body.max_tokens]);
  const givenTokens = body.resume?.tokens ?? [];
  const position =
    body.resume === undefined
      ? router.resumeKey.begin(caller.id, context)
      : router.resumeKey.verify(body.resume.token, context, givenTokens);
  if (position === undefined) throw new RouterError(ErrorKind.ResumeInvalid, RunState.NotRun);
  const promptTokens = await tokenize(router, group, prompt);
  return { body, group, layers, position, promptTokens, givenTokens, deadline };
}

async function tokenize(router: Router, group: string, text: string): Promise<readonly number[]> {
  const first = router.fleet.view.serving(group).filter((target) => target.firstLayer === 0);
  for (const target of first) {
    const tokens = await router.engines.control(target.name)?.tokenize(text);
    if (tokens?.isOk === true && tokens.value.length > 0) return tokens.value;
    if (tokens?.isOk === true) {
      throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, "The prompt is empty.");
    }
    router.fleet.failed(target.name);
  }
  throw new RouterError(ErrorKind.NoPath, RunState.NotRun, "Layer 0 is held by no live target.", 1);
}

async function admit(
  router: Router,
  caller: CallerRequest,
  prepared: Prepared,
  view: SettingsView,
  signal: AbortSignal,
): Promise<Admission> {
  const { group, body, deadline, promptTokens, givenTokens } = prepared;
  const cost = promptTokens.length + body.max_tokens - givenTokens.length;
  router.admissions.ask(group, caller.workspace, cost, view);
  const wanted = { workspace: caller.workspace, priority: body.priority, cost, deadline };
  const admission = await router.admissions.queue(group, view).admit(wanted, signal);
  if (admission.isErr) throw admission.error;
  router.metrics.timing("queue.wait", admission.value.waited, { group });
  return admission.value;
}

// Returns the time to the first token, `undefined` where there was none.
async function runAndSend(
  router: Router,
  caller: CallerRequest,
  prepared: Prepared,
  response: http.ServerResponse,
  signal: AbortSignal,
  begin: Milliseconds,
): Promise<Milliseconds | undefined> {
  const sender = prepared.body.stream
    ? new EventSender(response, caller.id)
    : new WholeSender(response, caller.id, router.resumeKey.resumeToken(prepared.position));
  let position = prepared.position;
  let last = router.clock.monotonic();
  let firstToken: Milliseconds | undefined;
  for await (const token of runAnswer(
    answerRequest(router, prepared),
    answerOptions(router, caller, prepared),
    signal,
  )) {
    const now = router.clock.monotonic();
    if (firstToken === undefined) firstToken = now - begin;
    else router.admissions.tokenCame(prepared.group, now - last);
    last = now;
    position = router.resumeKey.advance(position, token.token);
    await sender.token(token, router.resumeKey.resumeToken(position), signal);
  }
  sender.end();
  return firstToken;
}

function answerRequest(router: Router, prepared: Prepared) {
  const { body, position, promptTokens, givenTokens, layers } = prepared;
  return {
    sequencePrefix: `${position.request}.${router.instance}.${router.createId()}`,
    tokens: [...promptTokens, ...givenTokens],
    mostTokens: body.max_tokens - givenTokens.length,
    layers,
    priority: body.priority === Priority.Interactive ? interactiveRank : backgroundRank,
    prefixKeys: prefixKeys(promptTokens),
  };
}

function answerOptions(router: Router, caller: CallerRequest, prepared: Prepared) {
  const { group, promptTokens } = prepared;
  const keys = prefixKeys(promptTokens);
  const homes = prefixHomes(keys.at(-1) ?? "", router.fleet.view.serving(group));
  router.retries.earn();
  return {
    clock: router.clock,
    candidates: () => router.fleet.view.serving(group),
    penalty: (target: { readonly name: string; readonly tokensPerSecond: number }) => {
      const known = router.prefixes.cachedTokens(target.name, keys);
      const cached = homes.has(target.name) ? keys.length * blockTokens : known;
      return prefixCredit(cached, target, prepared.body.max_tokens);
    },
    channel: (target: string) => router.engines.channel(target),
    control: (target: string) => router.engines.control(target),
    isLeaving: (target: string) => router.fleet.isLeaving(target),
    noteStep: (target: string, tokens: number, sentAt: Milliseconds) => {
      router.fleet.noteStep(target, tokens, sentAt);
    },
    noteOpen: (target: string, change: 1 | -1) => {
      router.fleet.noteOpen(target, change);
    },
    mayReplace: () => router.retries.spend(),
    onReplaced: (event: { readonly lost: string; readonly reason: string }) => {
      if (event.reason !== "leaving") router.fleet.lost(event.lost);
      router.metrics.increment("stage.replaced", 1, { target: event.lost });
      router.logger.warn("stage replaced", { request: caller.id, ...event });
    },
  };
}

function record(
  router: Router,
  caller: CallerRequest,
  objective: string | undefined,
  good: boolean,
  firstTokenMilliseconds: Milliseconds | undefined,
): void {
  if (firstTokenMilliseconds !== undefined) {
    router.metrics.timing("answer.first_token", firstTokenMilliseconds);
  }
  if (objective === undefined) return;
  const outcome = { workspace: caller.workspace, objective, good, firstTokenMilliseconds };
  router.burn.record(outcome, router.clock.wall());
}

// An aborted answer is told by why it was aborted. After the first event the error
// ends the stream.
function cutShort(
  router: Router,
  response: http.ServerResponse,
  deadline: Milliseconds,
  error: unknown,
): RouterError {
  let told =
    error instanceof RouterError ? error : new RouterError(ErrorKind.Internal, RunState.Unknown);
  if (told.kind === ErrorKind.CallerGone) {
    if (router.gate.cutSignal.aborted) {
      told = new RouterError(ErrorKind.AnswerInterrupted, told.run, "This entry VM stopped.", 1);
    } else if (router.clock.monotonic() >= deadline) {
      told = new RouterError(ErrorKind.DeadlineExceeded, told.run);
    }
  }
  if (response.headersSent && !response.writableEnded) {
    response.end(`event: error\ndata: ${JSON.stringify(errorBody(told, ""))}\n\n`);
  }
  return told;
}

/// Sends tokens as server-sent events; each event's identifier is the resume token.
class EventSender {
  constructor(
    private readonly response: http.ServerResponse,
    private readonly id: string,
  ) {}

  async token(token: AnswerToken, resumeToken: string, signal: AbortSignal): Promise<void> {
    if (!this.response.headersSent) {
      const headers = { "content-type": "text/event-stream", "cache-control": "no-store" };
      this.response.writeHead(200, { ...headers, "lovagebend-request": this.id });
    }
    const delta = { content: token.text, token: token.token };
    const chunk = { id: this.id, object: "chat.completion.chunk", choices: [{ index: 0, delta }] };
    const more = this.response.write(`id: ${resumeToken}\ndata: ${JSON.stringify(chunk)}\n\n`);
    if (!more && !signal.aborted) await drained(this.response, signal);
  }

  end(): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, { "content-type": "text/event-stream" });
    }
    this.response.end("data: [DONE]\n\n");
  }
}

/// Gathers the tokens and sends them in one body.
class WholeSender {
  private text = "";
  private readonly tokens: number[] = [];

  constructor(
    private readonly response: http.ServerResponse,
    private readonly id: string,
    private resumeToken: string,
  ) {}

  token(token: AnswerToken, resumeToken: string): Promise<void> {
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

function drained(response: http.ServerResponse, signal: AbortSignal): Promise<void> {
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
