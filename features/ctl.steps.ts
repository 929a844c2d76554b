import { runCtl } from "@fulmarcleat/ctl";
import { FLEET_OPERATOR_TOKEN } from "@fulmarcleat/fleet";
import { After, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ApiWorld } from "./apiWorld.js";
import type { FleetWorld } from "./fleetWorld.js";
import "./fleetWorld.js";

interface CtlWorld extends FleetWorld, ApiWorld {
    folder?: string;
    output?: string;
    errorOutput?: string;
}

Given("a ctl file {string} with:", async function(this: CtlWorld, name: string, text: string) {
    this.folder ??= await mkdtemp(join(tmpdir(), "fulmarcleatctl-"));
    await writeFile(join(this.folder, name), text);
});

Given("the operator API has stopped", async function(this: CtlWorld) {
    await this.api?.stop();
});

When("ctl runs {string} it exits with {int}", async function(this: CtlWorld, command: string, exit: number) {
    strictEqual(await runCommand(this, command), exit, `${this.output}\n${this.errorOutput}`);
});

Then("ctl printed {string}", function(this: CtlWorld, part: string) {
    ok(this.output?.includes(part), this.output);
});

Then("ctl printed the error {string}", function(this: CtlWorld, part: string) {
    ok(this.errorOutput?.includes(part), this.errorOutput);
});

Then("ctl explains the last answer with a step of {string}", async function(this: CtlWorld, host: string) {
    const requestId = this.answers.at(-1)?.headers.get("x-request-id") ?? "";
    strictEqual(await runCommand(this, `explain request ${requestId}`), 0, this.errorOutput);
    ok(this.output?.includes(host), this.output);
});

After(async function(this: CtlWorld) {
    if (this.folder !== undefined) {
        await rm(this.folder, { recursive: true });
    }
});

async function runCommand(world: CtlWorld, command: string): Promise<number> {
    const outputLines: string[] = [];
    const errorLines: string[] = [];
    const argv = command.split(" ").map(part => part.endsWith(".jsonc") ? join(world.folder ?? "", part) : part);
    const exit = await runCtl(argv, {
        env: { FULMARCLEAT_SERVER: world.api?.url, FULMARCLEAT_TOKEN: FLEET_OPERATOR_TOKEN },
        write: line => outputLines.push(line),
        writeMessage: line => errorLines.push(line),
        signal: new AbortController().signal,
    });
    world.output = outputLines.join("\n");
    world.errorOutput = errorLines.join("\n");
    return exit;
}
