//! Addresses of the form IP:PORT in texts from outside.
import { isIPv4 } from "node:net";

const maximumPort = 65_535;
const firstMulticastOctet = 224;

/// The parts of an address; `undefined` unless `text` is the IPv4 address of one machine and a
/// port that can be connected to.
export function parseIpAddress(
  text: string,
): { readonly host: string; readonly port: number } | undefined {
  const [host = "", port = ""] = text.split(":");
  const isAddress = text === `${host}:${port}` && isUnicastAddress(host) && isPort(port);
  return isAddress ? { host, port: Number(port) } : undefined;
}

// Neither the addresses that stand for "this machine" nor those of groups of machines.
function isUnicastAddress(host: string): boolean {
  const firstOctet = Number(host.split(".")[0]);
  return isIPv4(host) && firstOctet > 0 && firstOctet < firstMulticastOctet;
}

function isPort(text: string): boolean {
  return /^[1-9]\d{0,4}$/.test(text) && Number(text) <= maximumPort;
}
