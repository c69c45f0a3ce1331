//! A plain JSON call for scaffolding, apart from the product's own client.

export interface FetchOptions {
  readonly method?: string;
  readonly key?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/// Calls `url` and parses the answer. Throws when there is none.
export async function fetchJson(
  url: string,
  options: FetchOptions = {},
): Promise<{ status: number; headers: Headers; body: unknown }> {
  const answer = await fetch(url, {
    method: options.method ?? "GET",
    headers: {
      "content-type": "application/json",
      ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }),
      ...options.headers,
    },
    ...(options.body === undefined ? {} : { body: JSON.stringify(options.body) }),
  });
  return { status: answer.status, headers: answer.headers, body: await answer.json() };
}
