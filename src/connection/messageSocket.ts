/** Sends messages on the socket of a link. */
import type { Socket } from "node:net";
import { encodeMessageParts } from "./linkCodec.js";
import type { LinkMessage } from "./linkMessage.js";

/** Sends a message. `handleWritten` is called once none of its bytes is used here any more, whether they were sent or not. */
export function sendMessage(socket: Socket, message: LinkMessage, handleWritten?: () => void): void {
    const parts = encodeMessageParts(message);
    socket.cork();
    parts.forEach((part, index) => socket.write(part, index === parts.length - 1 ? handleWritten : undefined));
    socket.uncork();
}
