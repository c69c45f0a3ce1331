//! A minimal HTTP server for JSON requests and responses, on which the test doubles
//! are built.
import http from "node:http";
import type { AddressInfo } from "node:net";

/// Handles one route. Returns a status and a body, or `undefined` when it writes the
/// response itself.
export type Handler = (
  body: unknown,
  url: URL,
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<JsonResponse | undefined> | JsonResponse | undefined;

export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

export interface RunningServer {
  readonly port: number;
  close(): Promise<void>;
}

/// Serves `routes` on the loopback interface. Keys are method and path, for example
/// `GET /load`; `GET *` matches all other paths. Handlers of `streamingRoutes` read the
/// request body themselves; other handlers receive it parsed as JSON.
export async function serveJson(
  port: number,
  routes: ReadonlyMap<string, Handler>,
  streamingRoutes: ReadonlySet<string> = new Set(),
): Promise<RunningServer> {
  const server = http.createServer((request, response) => {
    void handleRequest(request, response);
  });
  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const url = new URL(request.url ?? "/", "http://stand-in");
    const key = `${request.method ?? "GET"} ${url.pathname}`;
    const handler = routes.get(key) ?? routes.get(`${request.method ?? "GET"} *`);
    const body = streamingRoutes.has(key) ? undefined : await readJson(request);
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

export function ok(body: unknown): JsonResponse {
  return { status: 200, body };
}

async function readJson(request: http.IncomingMessage): Promise<unknown> {
  let text = "";
  request.setEncoding("utf8");
  for await (const chunk of request) text += chunk as string;
  return text === "" ? undefined : (JSON.parse(text) as unknown);
}
