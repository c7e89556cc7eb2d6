/** What all listeners share. */
import type { Server } from "node:net";

/** Binds a server to an address; rejects when that fails. */
export function startListening(server: Server, address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.removeListener("error", reject);
            resolve();
        });
    });
}
