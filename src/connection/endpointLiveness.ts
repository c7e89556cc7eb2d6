/** Tells an endpoint that has crashed from one that lost a connection. */
import { connect } from "node:net";

/** Time for a new connection, in milliseconds. */
const connectTimeoutMs = 500;
/** Time for which a connection has to stay open, in milliseconds. */
const holdOpenMs = 250;

/**
 * Whether an endpoint still runs. A process that is just ending closes its connections before its listening socket, so that it
 * may still accept a connection; only one that stays open shows that the endpoint runs.
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
