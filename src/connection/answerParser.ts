/**
 * Parser for a connection's answers: that of the library, with each line checked before the library reads it.
 *
 * The library passes over lines of a head that it doesn't know and reads a number as far as it goes. An answer that is cut
 * off and the one behind it would then be read as one, with the status of the first and the body of the second.
 */
import { HTTPParser } from "http-parser-js";
import type { HeaderList } from "../request/headers.js";
import { isChunkLine, isFieldLine, isStatusLine } from "./answerLines.js";

/** Head of an answer. */
export interface AnswerHead {
    readonly status: number;
    /** Names and values as flat pairs, as they were sent. */
    readonly headers: HeaderList;
    readonly shouldKeepAlive: boolean;
}

/** Takes the parts of each answer. */
export interface AnswerHandler {
    /** Takes a head; returns whether a body may follow. */
    readonly startAnswer: (head: AnswerHead) => boolean;
    /** Takes a piece of the body; does not keep the buffer. */
    readonly addBody: (piece: Buffer) => void;
    readonly finishAnswer: () => void;
}

/** What the library has and doesn't declare. */
interface LibraryState {
    /** Next element that is due. */
    readonly state: string;
    /** Beginning of a line that isn't complete. */
    readonly line: string;
    /** Reads the next line without its end; `undefined` if it isn't complete. */
    consumeLine: () => string | undefined;
}

/** Checks a line, by the state in which the library reads it. */
const lineChecks: ReadonlyMap<string, (line: string) => boolean> = new Map([
    // The library passes over empty lines before an answer, and ends a head or the trailers at one.
    ["RESPONSE_LINE", line => line === "" || isStatusLine(line)],
    ["HEADER", line => line === "" || isFieldLine(line)],
    ["BODY_CHUNKHEAD", isChunkLine],
    ["BODY_CHUNKTRAILERS", line => line === "" || isFieldLine(line)],
]);

// The library's default drops the highest bit of each byte, so that bytes beyond ASCII would be read as syntax.
HTTPParser.encoding = "latin1";

/** Parser for the answers of one connection. */
export class AnswerParser {
    private readonly library: InstanceType<typeof HTTPParser>;
    private readonly libraryState: LibraryState;

    constructor(handler: AnswerHandler) {
        const library = new HTTPParser(HTTPParser.RESPONSE);
        library.onHeadersComplete = ({ statusCode, headers, shouldKeepAlive }) => {
            const mayHaveBody = handler.startAnswer({ status: statusCode, headers, shouldKeepAlive });
            // Returning 1 tells the library that no body follows.
            return mayHaveBody ? 0 : 1;
        };
        library.onBody = (chunk, offset, length) => handler.addBody(chunk.subarray(offset, offset + length));
        library.onMessageComplete = handler.finishAnswer;
        this.library = library;
        this.libraryState = library as unknown as LibraryState;
        checkLines(this.libraryState);
    }

    /** Parses a piece of the connection's bytes; returns whether it is valid so far. */
    parse(piece: Buffer): boolean {
        return typeof this.library.execute(piece) === "number";
    }

    /** Whether nothing of a further answer has been read. */
    isBetweenAnswers(): boolean {
        return this.libraryState.state === "RESPONSE_LINE" && this.libraryState.line === "";
    }

    /** Ends an answer without a length; returns whether the bytes may end here. */
    finish(): boolean {
        return !(this.library.finish() instanceof Error);
    }
}

/** Makes the library's parser fail at the first line that isn't valid. */
function checkLines(library: LibraryState): void {
    const consumeLine = library.consumeLine.bind(library);
    library.consumeLine = () => {
        const line = consumeLine();
        if (line !== undefined && lineChecks.get(library.state)?.(line) === false) {
            throw new Error(`no valid line where the state is ${library.state}`);
        }
        return line;
    };
}
