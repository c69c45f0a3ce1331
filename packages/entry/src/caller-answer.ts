//! The answer to a caller over one exchange of Node's server.
import type { CallerAnswer, Framing } from "@lovagebend/attempts";
import type http from "node:http";

export class HttpCallerAnswer implements CallerAnswer {
  firstByteAt: number | undefined;
  status = 0;
  isBrokenOff = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly readClock: () => number,
    private readonly closesConnection: () => boolean,
  ) {}

  get hasBegun(): boolean {
    return this.firstByteAt !== undefined;
  }

  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    framing: Framing,
  ): void {
    this.firstByteAt = this.readClock();
    this.status = status;
    const all: http.OutgoingHttpHeaders = { ...headers };
    switch (framing.kind) {
      case "length":
        all["content-length"] = framing.bytes;
        break;
      case "untilClose":
        this.response.useChunkedEncodingByDefault = false;
        this.response.shouldKeepAlive = false;
        break;
      case "chunked":
        break;
    }
    if (this.closesConnection()) all.connection = "close";
    this.response.writeHead(status, all);
  }

  send(bytes: Buffer): void {
    this.response.write(bytes);
  }

  end(bytes?: Buffer): void {
    this.response.end(bytes);
  }

  breakOff(): void {
    this.isBrokenOff = true;
    this.response.destroy();
  }
}
