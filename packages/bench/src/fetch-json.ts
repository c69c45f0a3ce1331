//! A minimal JSON client for the test harness. It shares no code with the product's client.

export interface FetchOptions {
  readonly method?: string;
  readonly bearerToken?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/// Sends a request to `url` and parses the response body. Throws when there is no response or
/// its body isn't JSON; an error status doesn't throw.
export async function fetchJson(
  url: string,
  options: FetchOptions = {},
): Promise<{ status: number; headers: Headers; body: unknown }> {
  const response = await fetch(url, {
    method: options.method ?? "GET",
    headers: {
      "content-type": "application/json",
      ...(options.bearerToken === undefined
        ? {}
        : { authorization: `Bearer ${options.bearerToken}` }),
      ...options.headers,
    },
    ...(options.body === undefined ? {} : { body: JSON.stringify(options.body) }),
  });
  return { status: response.status, headers: response.headers, body: await response.json() };
}
