Feature: describeSettings lists every key with its allowed values

    Scenario: keys of a small schema
        Then describeSettings of [] gives [{"key":"host","allowed":"text","required":true},{"key":"kv.url","allowed":"address such as http://127.0.0.1:2379","required":true},{"key":"kv.timeoutMs","allowed":"whole number from 10","required":false,"byDefault":"2000"},{"key":"mode","allowed":"\"a\" or \"b\"","required":false}]
