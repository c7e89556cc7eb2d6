import { expect } from "chai";
import { parseSettings } from "../src/process/settings/settings.js";
import { formatSettingsError } from "../src/process/settings/settingsFile.js";

const validText = `service = "katalog"
dataCentre = "klaten"
address = "127.0.0.1"
[listeners]
caller = 7001
outbound = 7002
peer = 7003
control = 7004
admin = 7005
[endpoint]
url = "http://127.0.0.1:8000"
[log]
url = "http://127.0.0.1:7000"
`;

const invalidCases: readonly { readonly name: string; readonly text: string; readonly message: RegExp; }[] = [
    { name: "a missing address", text: validText.replace(/address.*\n/, ""), message: /node\.toml: address/ },
    {
        name: "a host name for an address",
        text: validText.replace("\"127.0.0.1\"", "\"localhost\""),
        message: /address = "localhost", allowed: an IP number/,
    },
    {
        name: "a port out of range",
        text: validText.replace("7001", "70010"),
        message: /listeners\.caller = 70010, allowed: a number <=65535/,
    },
    { name: "an unknown key", text: `${validText}colour = 1\n`, message: /log\.colour = .*allowed: no such key/ },
    {
        name: "an unknown log level",
        text: `${validText}[logging]\nlevel = "loud"\n`,
        message: /logging\.level = "loud", allowed: /,
    },
    { name: "broken TOML", text: "service = [", message: /^node\.toml:\d+: / },
];

describe("settings", () => {
    it("fill in every default", () => {
        const parsed = parseSettings("node.toml", validText);
        expect(parsed.ok && parsed.value.limits.maxBodyBytes).to.equal(4_194_304);
        expect(parsed.ok && parsed.value.log.pollMilliseconds).to.equal(500);
        expect(parsed.ok && parsed.value.peers.seeds).to.deep.equal([]);
    });

    for (const { name, text, message } of invalidCases) {
        it(`refuse ${name} with file, key, value and what is allowed`, () => {
            const parsed = parseSettings("node.toml", text);
            expect(parsed.ok).to.equal(false);
            expect(parsed.ok ? "" : formatSettingsError(parsed.error)).to.match(message);
        });
    }
});
