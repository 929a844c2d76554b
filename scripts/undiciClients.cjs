// The parts of undici that open connections and send requests. The whole package, with fetch and caches, takes a
// process longer to start.
const Dispatcher = require("../node_modules/undici/lib/dispatcher/dispatcher");

Dispatcher.prototype.request = require("../node_modules/undici/lib/api/api-request");

module.exports = {
    buildConnector: require("../node_modules/undici/lib/core/connect"),
    Client: require("../node_modules/undici/lib/dispatcher/client"),
    Pool: require("../node_modules/undici/lib/dispatcher/pool"),
};
