/** Lint rules: the TypeScript team's coding guidelines, type imports apart, and function names that begin with a listed verb. */
import js from "@eslint/js";
import { readFileSync } from "node:fs";
import typescript from "typescript-eslint";

/** Verbs are listed in docs/STYLE.md, between two marker lines. */
const style = readFileSync(new URL("docs/STYLE.md", import.meta.url), "utf8");
const verbs = /<!-- verbs -->([\s\S]*?)<!-- end -->/.exec(style)[1].match(/[a-z]+/g);
const verbPattern = new RegExp(`^(${verbs.join("|")})([A-Z0-9]|$)`);

const functionNames = {
    meta: { type: "suggestion", schema: [] },
    create(context) {
        const check = (node, name) => {
            if (!verbPattern.test(name)) {
                context.report({
                    node,
                    message: `the function name "${name}" does not begin with a verb of docs/STYLE.md`,
                });
            }
        };
        return {
            FunctionDeclaration: node => node.id && check(node, node.id.name),
            MethodDefinition: node =>
                node.kind === "method" && node.key.type === "Identifier" && check(node, node.key.name),
        };
    },
};

/** Folders of src/process/, lowest first: a file imports from its own folder and from lower ones. */
const processLayers = [
    "base",
    "telemetry",
    "membership",
    "load",
    "customers",
    "ownership",
    "endpoint",
    "settings",
    "operators",
    "node",
];

const layers = {
    meta: { type: "problem", schema: [] },
    create(context) {
        const ownFolder = /src\/process\/(\w+)\//.exec(context.filename.replaceAll("\\", "/"))?.[1];
        const ownIndex = processLayers.indexOf(ownFolder);
        return {
            ImportDeclaration(node) {
                const folder = /^\.\.\/(\w+)\//.exec(node.source.value)?.[1];
                if (ownIndex !== -1 && processLayers.indexOf(folder) > ownIndex) {
                    context.report({ node, message: `src/process/${ownFolder} may not import from ${folder}` });
                }
            },
        };
    },
};

export default typescript.config(
    { ignores: ["dist", "target", "node_modules", "reports"] },
    js.configs.recommended,
    ...typescript.configs.strict,
    {
        plugins: { turmericspoke: { rules: { "function-names": functionNames, layers } } },
        rules: {
            "turmericspoke/function-names": "error",
            "turmericspoke/layers": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "no-duplicate-imports": "off",
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/no-unused-vars": ["error", { varsIgnorePattern: "^_", argsIgnorePattern: "^_" }],
            "@typescript-eslint/no-invalid-void-type": "off",
            curly: "error",
            eqeqeq: "error",
            "no-console": "error",
        },
    },
    {
        files: ["**/*.mjs"],
        languageOptions: { globals: { URL: "readonly" } },
        rules: { "turmericspoke/function-names": "off" },
    },
);
