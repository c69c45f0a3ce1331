//! A small HTTP server with JSON bodies, shared by the stand-ins.
import http from "node:http";
import type { AddressInfo } from "node:net";

/// Answers one path. Returns a status and a body, or `undefined` when it has
/// taken over the response itself.
export type Handler = (
  body: unknown,
  url: URL,
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<Answer | undefined> | Answer | undefined;

export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

export interface RunningServer {
  readonly port: number;
  close(): Promise<void>;
}

/// Serves `routes`, keyed by method and path, for example `GET /load`. Handlers of
/// `streaming` paths get the request unread.
export async function serveJson(
  port: number,
  routes: ReadonlyMap<string, Handler>,
  streaming: ReadonlySet<string> = new Set(),
): Promise<RunningServer> {
  const server = http.createServer((request, response) => {
    void answer(request, response);
  });
  const answer = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const url = new URL(request.url ?? "/", "http://stand-in");
    const key = `${request.method ?? "GET"} ${url.pathname}`;
    const handler = routes.get(key) ?? routes.get(`${request.method ?? "GET"} *`);
    const body = streaming.has(key) ? undefined : await readJson(request);
    const result = await handler?.(body, url, request, response);
    if (handler !== undefined && result === undefined) return;
    const text = JSON.stringify(result?.body ?? { error: "not found" });
    response.writeHead(result?.status ?? 404, { "content-type": "application/json" }).end(text);
  };
  await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
  return {
    port: (server.address() as AddressInfo).port,
    close: () =>
      new Promise((resolve) => {
        server.closeAllConnections();
        server.close(() => {
          resolve();
        });
      }),
  };
}

export function ok(body: unknown): Answer {
  return { status: 200, body };
}

async function readJson(request: http.IncomingMessage): Promise<unknown> {
  let text = "";
  request.setEncoding("utf8");
  for await (const chunk of request) text += chunk as string;
  return text === "" ? undefined : (JSON.parse(text) as unknown);
}
