// The parts of undici that open connections. The whole package, with fetch and caches, takes a process longer to start.
module.exports = {
    buildConnector: require("../node_modules/undici/lib/core/connect"),
    Client: require("../node_modules/undici/lib/dispatcher/client"),
    Pool: require("../node_modules/undici/lib/dispatcher/pool"),
};
