// Exports only the parts of undici that open connections and send requests; importing the whole package, with fetch
// and caches, makes a process start more slowly.
import request from "../node_modules/undici/lib/api/api-request.js";
import buildConnector from "../node_modules/undici/lib/core/connect.js";
import Client from "../node_modules/undici/lib/dispatcher/client.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";
import Pool from "../node_modules/undici/lib/dispatcher/pool.js";

Dispatcher.prototype.request = request;

export { buildConnector, Client, Pool };
