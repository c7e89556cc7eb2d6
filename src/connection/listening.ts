/** Binding of TCP and HTTP servers. */
import type { Server } from "node:net";

/** Binds a server to an address and port; rejects with the error of the server if that fails. */
export function startListening(server: Server, address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.removeListener("error", reject);
            resolve();
        });
    });
}
