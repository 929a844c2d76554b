export default {
    paths: ["packages/*/src/**/*.feature", "platform/**/src/**/*.feature", "features/**/*.feature"],
    import: ["packages/*/src/**/*.steps.ts", "platform/**/src/**/*.steps.ts", "features/**/*.steps.ts"],
    parallel: 8,
    format: ["summary", "message:.work/messages.ndjson", "json:.work/cucumber.json"],
};
