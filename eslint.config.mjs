import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["packages/*/src/**/*.ts", "platform/**/src/**/*.ts", "features/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: "function", format: ["camelCase"] },
                {
                    selector: "variable",
                    format: ["camelCase", "UPPER_CASE", "PascalCase"],
                    leadingUnderscore: "forbid",
                },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
        },
    },
    {
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "prefer-const": "error",
            "no-var": "error",
        },
    },
);
