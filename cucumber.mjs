export default {
    paths: ["packages/*/src/**/*.feature", "features/**/*.feature"],
    import: ["packages/*/src/**/*.steps.ts", "features/**/*.steps.ts"],
    parallel: 5,
    format: ["summary", "json:.work/cucumber.json"],
};
