//! Writes an answer to a caller as the response of Node's HTTP server, and records the
//! status and the time of the first byte for the metrics.
import type { CallerAnswer } from "@lovagebend/attempts";
import { writeFramedHead, type Framing, type Milliseconds } from "@lovagebend/common";
import type http from "node:http";

// Several times the size of a usual streamed answer, and above the amount at which Node's
// response emits "drain".
const maximumUnreadBytes = 64 * 1024;
const noRoomReason = "no memory for the answer";
// For a caller that has stopped reading.
const abortTimeout: Milliseconds = 1_000;

export class HttpCallerAnswer implements CallerAnswer {
  firstByteAt: number | undefined;
  status = 0;
  isAborted = false;
  private endsWithConnection = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly readClock: () => number,
    private readonly shouldCloseConnection: () => boolean,
    private readonly onAbort: (reason: string) => void,
    /// Returns whether there is room for so many bytes until the caller has read them.
    private readonly holdUnread: (bytes: number) => boolean = () => true,
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
    const responseHeaders: http.OutgoingHttpHeaders = { ...headers };
    if (this.shouldCloseConnection()) responseHeaders.connection = "close";
    this.endsWithConnection = writeFramedHead(this.response, status, responseHeaders, framing);
    if (this.endsWithConnection) this.resetAtCallerEnd();
  }

  send(bytes: Buffer): boolean {
    this.response.write(bytes);
    return this.response.writableLength <= maximumUnreadBytes;
  }

  onceRead(callback: () => void): void {
    this.response.once("drain", callback);
  }

  end(bytes?: Buffer): void {
    if (bytes !== undefined && !this.holdUnread(bytes.length)) this.abort(noRoomReason);
    else this.response.end(bytes);
  }

  abort(reason: string): void {
    this.isAborted = true;
    this.onAbort(reason);
    const { socket } = this.response;
    if (!this.endsWithConnection || socket === null) {
      this.response.destroy();
      return;
    }
    // The plain end of the connection would mark the answer as complete.
    const reset = (): void => {
      socket.resetAndDestroy();
    };
    if (socket.writableLength > maximumUnreadBytes) {
      reset();
      return;
    }
    // The callback runs when the bytes before the reset have been sent. The timeout of the socket
    // itself would end the connection plainly.
    const timer = setTimeout(reset, abortTimeout);
    socket.once("close", () => {
      clearTimeout(timer);
    });
    socket.write("", reset);
  }

  // A caller that ends its half counts as one that has left. Node's listener, before which this one
  // runs, ends the connection plainly, and a connection that is being ended can't be reset any more.
  private resetAtCallerEnd(): void {
    const { socket } = this.response;
    socket?.prependOnceListener("end", () => {
      if (!this.response.writableEnded) socket.resetAndDestroy();
    });
  }
}
