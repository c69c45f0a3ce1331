//! A minimal reverse proxy on Node's http module. Its cost is the lower bound for any router
//! between caller and target.
import http from "node:http";

const targetPort = Number(process.argv[2]);
const agent = new http.Agent({ keepAlive: true, maxSockets: 256 });
const server = http.createServer((request, response) => {
  const outgoing = http.request(
    {
      host: "127.0.0.1",
      port: targetPort,
      path: request.url,
      method: request.method,
      headers: request.headers,
      agent,
    },
    (incoming) => {
      response.writeHead(incoming.statusCode ?? 502, incoming.headers);
      incoming.pipe(response);
    },
  );
  outgoing.on("error", () => {
    response.destroy();
  });
  request.pipe(outgoing);
});
server.listen(0, "127.0.0.1", () => {
  const address = server.address();
  const port = typeof address === "object" && address !== null ? address.port : 0;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
