/** Check whether the endpoint process still runs, which distinguishes a crash from the loss of a single connection. */
import { connect } from "node:net";

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 500;
/** Time for which the connection must stay open, in milliseconds. */
const holdOpenMs = 250;

/**
 * Resolves to whether the endpoint process runs. Never rejects. A process that is exiting closes its connections before
 * its listening socket and may still accept a new one, so only a connection that stays open shows that the endpoint
 * runs.
 */
export function isEndpointRunning(host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ host, port, timeout: connectTimeoutMs });
        const finish = (isOpen: boolean): void => {
            socket.destroy();
            resolve(isOpen);
        };
        let isConnected = false;
        socket.once("connect", () => {
            isConnected = true;
            socket.setTimeout(holdOpenMs);
        });
        socket.once("timeout", () => finish(isConnected));
        socket.once("error", () => finish(false));
        socket.once("close", () => finish(false));
        socket.resume();
    });
}
