/** Which answers of an endpoint are read without the library's parser, and that they are read as the library reads them. */
import { expect } from "chai";
import { HTTPParser } from "http-parser-js";
import { parseSimpleAnswer } from "../../src/connection/simpleAnswer.js";

/** Reads one whole answer with the library. */
function parseWithLibrary(text: string): unknown {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    let read: Record<string, unknown> = {};
    let body = "";
    parser.onHeadersComplete = ({ statusCode, headers, shouldKeepAlive }) => {
        read = { status: statusCode, headers, shouldKeepAlive };
    };
    parser.onBody = (chunk, offset, length) => {
        body = chunk.toString("latin1", offset, offset + length);
    };
    parser.onMessageComplete = () => undefined;
    parser.execute(Buffer.from(text, "latin1"));
    return { ...read, body };
}

describe("simple answers", () => {
    const readCases: readonly { readonly name: string; readonly text: string; }[] = [
        { name: "a body", text: "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\nbody" },
        { name: "an empty body", text: "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n" },
        { name: "no reason", text: "HTTP/1.1 200 \r\ncontent-length:1\r\n\r\nx" },
        { name: "spaces around a value", text: "HTTP/1.1 200 OK\r\nNote: \t a b \t\r\nContent-Length: 0\r\n\r\n" },
        { name: "an empty value", text: "HTTP/1.1 200 OK\r\nNote:\r\nContent-Length: 0\r\n\r\n" },
        { name: "an end of head in the body", text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\r\n\r\n" },
        { name: "one chunk", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" },
        {
            name: "the end of the connection",
            text: "HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n",
        },
        {
            name: "a lasting connection",
            text: "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
        },
    ];
    for (const { name, text } of readCases) {
        it(`with ${name} are read as the library reads them`, () => {
            const piece = Buffer.from(text, "latin1");
            const { bodyStart, bodyLength, ...read } = parseSimpleAnswer(piece) ?? expect.fail("left to the library");
            const body = piece.toString("latin1", bodyStart, bodyStart + bodyLength);
            expect({ ...read, body }).deep.equals(parseWithLibrary(text));
        });
    }

    const leftCases: readonly { readonly name: string; readonly text: string; }[] = [
        { name: "a part of a head", text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" },
        { name: "a part of a body", text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod" },
        { name: "bytes behind a body", text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyH" },
        { name: "an answer without a length", text: "HTTP/1.1 200 OK\r\nNote: a\r\n\r\n" },
        { name: "two lengths", text: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx" },
        { name: "a length that is no number", text: "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nx" },
        {
            name: "chunks and a length",
            text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        },
        {
            name: "two chunks",
            text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\ny\r\n0\r\n\r\n",
        },
        { name: "no chunk", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
        { name: "trailers", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n" },
        { name: "another coding", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n1\r\nx\r\n0\r\n\r\n" },
        {
            name: "the length of a chunk that is no number",
            text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a\r\nx\r\n0\r\n\r\n",
        },
        { name: "an answer that announces another", text: "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" },
        { name: "a status without a body", text: "HTTP/1.1 204 None\r\nContent-Length: 0\r\n\r\n" },
        { name: "an older version", text: "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n" },
        { name: "a folded header", text: "HTTP/1.1 200 OK\r\nNote: a\r\n b\r\nContent-Length: 0\r\n\r\n" },
        { name: "a line without a return", text: "HTTP/1.1 200 OK\r\nNote: a\nContent-Length: 0\r\n\r\n" },
        { name: "a name with a space", text: "HTTP/1.1 200 OK\r\nNote : a\r\nContent-Length: 0\r\n\r\n" },
        { name: "letters beyond ASCII", text: "HTTP/1.1 200 OK\r\nNote: caf\xe9\r\nContent-Length: 1\r\n\r\n\xe9" },
        { name: "no answer", text: "\0\x01garbage\r\n\r\n" },
    ];
    for (const { name, text } of leftCases) {
        it(`are not seen in ${name}`, () => {
            expect(parseSimpleAnswer(Buffer.from(text, "latin1"))).equals(undefined);
        });
    }

    it("are read in little time, whatever spaces a header has", () => {
        const start = performance.now();
        for (const value of ["x".padEnd(60_000) + "x", "x".padEnd(60_000) + "\x01", "".padEnd(60_000) + "\x01"]) {
            parseSimpleAnswer(Buffer.from(`HTTP/1.1 200 OK\r\nNote: ${value}\r\nContent-Length: 0\r\n\r\n`));
        }
        expect(performance.now() - start).below(500);
    });
});
