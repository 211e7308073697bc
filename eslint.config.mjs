import typescript from "typescript";
import tseslint from "typescript-eslint";

/** Reports keys that are any text in records: those of inherited members, such as "constructor", are found there too. */
const ownKeys = {
    meta: {
        type: "problem",
        messages: { inherited: "The key may name an inherited member. Use 'ownValue', 'setOwnValue' or a Map." },
        schema: [],
    },
    create: context => {
        const services = context.sourceCode.parserServices;
        const checker = services.program.getTypeChecker();
        const isText = node => (services.getTypeAtLocation(node).flags & typescript.TypeFlags.String) !== 0;
        const isRecord = node => {
            const type = checker.getNonNullableType(services.getTypeAtLocation(node));
            return checker.getIndexInfoOfType(type, typescript.IndexKind.String) !== undefined;
        };
        return {
            MemberExpression: node => {
                if (node.computed && isText(node.property) && isRecord(node.object)) {
                    context.report({ node, messageId: "inherited" });
                }
            },
        };
    },
};

const nodeImports = {
    group: ["node:*", "@cassiapick/*"],
    message: "The core is pure: pass sockets, clocks and random sources in.",
};

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", ".mocharc.cjs", "eslint.config.mjs", "platform/bundle.mjs", "target/**"] },
    ...tseslint.configs.strictTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 300, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-import-type-side-effects": "error",
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/no-confusing-void-expression": "off",
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/no-unnecessary-condition": ["error", { allowConstantLoopConditions: true }],
            "no-restricted-syntax": ["error", {
                selector: "ExportDefaultDeclaration",
                message: "Export by name.",
            }],
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        ignores: [
            "**/src/test/**",
            "packages/{baseline,demo,measure,proofs,standins}/**",
            "packages/core/src/lib/own-value.ts",
            "platform/src/soak/**",
        ],
        plugins: { cassiapick: { rules: { "own-keys": ownKeys } } },
        rules: { "cassiapick/own-keys": "error" },
    },
    {
        files: ["**/src/test/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off" },
    },
    {
        files: ["packages/core/src/**/*.ts"],
        ignores: ["packages/core/src/test/**"],
        rules: {
            "no-restricted-imports": ["error", { patterns: [nodeImports] }],
            "no-restricted-globals": [
                "error",
                "process",
                "Buffer",
                "setTimeout",
                "setInterval",
                "setImmediate",
                "fetch",
                "performance",
            ],
            "no-restricted-properties": [
                "error",
                { object: "Math", property: "random", message: "Pass a seeded generator in." },
                { object: "Date", property: "now", message: "Pass the time in." },
            ],
            "no-restricted-syntax": [
                "error",
                { selector: "NewExpression[callee.name='Date']", message: "Pass the time in." },
                { selector: "ExportDefaultDeclaration", message: "Export by name." },
            ],
        },
    },
);
