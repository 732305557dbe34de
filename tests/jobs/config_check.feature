Feature: a configuration is checked before it is sent

  Background:
    Given a valid configuration file of version 4 with 2 queues and 2 customers

  Scenario: a valid file has no findings
    Then the check exits 0 printing "0 errors, 0 warnings"
    And it prints "version 4: 2 queues, 2 services, 2 customers (weights: 5 jobs/s)"

  Scenario Outline: a value of the wrong type is named with its path and what is allowed
    When the file's <field> is <value>
    Then the check exits 2 printing "error: <field> = <value>; allowed: <allowed>"

    Examples:
      | field                     | value | allowed         |
      | version                   | 2.5   | an integer      |
      | routes                    | 7     | a list          |
      | routes[1].stretch         | true  | a finite number |
      | services[0].standby       | 1     | true or false   |
      | tenants[0].weight         | false | a finite number |
      | tenants[1].maxCount.cpu   | -4    | 0 or more       |
      | limits.maxBodyBytes       | true  | an integer      |

  Scenario Outline: a file that cannot be read is an error, not a crash
    When the file holds <text>
    Then the check exits 2 printing "<message>"

    Examples:
      | text                   | message                     |
      | {"version":            | not JSON                    |
      | []                     | the value is a list         |
      | a list 100000 deep     | not JSON                    |
      | {"version":1,"version":2} | version; allowed: once in an object |
      | {"version":1}          | routes; allowed: a list; the field is missing |

  Scenario Outline: an entry that can never match is found
    When the file's <field> is <value>
    Then the check exits <code> printing "<message>"

    Examples:
      | field                | value              | code | message |
      | routes[1].pathPrefix | "/a/"              | 2    | error: routes[1].pathPrefix = '/a/'; allowed: a host and prefix that no earlier queue has; queue 'a' gets all its calls |
      | routes[1].pathPrefix | "b/"               | 2    | no call matches it |
      | routes[1].pathPrefix | "/b"               | 0    | warning: routes[1].pathPrefix |
      | routes[1].host       | "h:80"             | 2    | error: routes[1].host = 'h:80'; allowed: a host name without a port |
      | routes[1].name       | "a"                | 2    | error: routes[1].name = 'a' |
      | routes[1].service    | "none"             | 2    | the service is not in this version |
      | routes[1].service    | "spare"            | 2    | the service is a standby pool |
      | services[1].standby  | false              | 0    | warning: services[1].name = 'spare' |
      | tenants[1].apiKeys   | []                 | 0    | warning: tenants[1].apiKeys; allowed: one key or more; nobody can call as 'c2' |
      | tenants[1].apiKeys   | ["k-one"]          | 2    | customers 'c1' and 'c2' have the same key |
      | tenants[1].apiKeys   | ["k-2", "k-2"]     | 0    | customer 'c2' has a key twice |
      | tenants[1].apiKeys   | ["k 2"]            | 0    | no call can carry this key |
      | tenants[1].name      | "c1"               | 2    | error: tenants[1].name = 'c1' |
      | tenants              | []                 | 2    | all calls to 2 queues would get 401 |
      | routes               | []                 | 0    | all calls would get 404 |
      | routes[0].Public     | true               | 0    | did you mean public? |

  Scenario Outline: numbers out of range or in contradiction are found
    When the file's <field> is <value>
    Then the check exits <code> printing "<field> = <value>; allowed: <allowed>"

    Examples:
      | field                     | value | code | allowed                         |
      | version                   | -1    | 2    | 0 or more                       |
      | routes[0].priority        | -1    | 2    | 0 or more                       |
      | routes[0].maxAttempts     | 0     | 2    | 1 or more                       |
      | routes[0].maxAttempts     | 90    | 0    | 1 to 20                         |
      | routes[0].stretch         | 0.0   | 2    | 1 or more                       |
      | routes[0].stretch         | 0.5   | 0    | 1 or more                       |
      | routes[0].targetLatencyMs | -5    | 2    | 0 or more                       |
      | routes[0].timeoutMs       | 300   | 0    | 600 or more, its target latency |
      | tenants[0].weight         | -1.0  | 2    | 0 or more                       |
      | tenants[0].weight         | 0.0   | 0    | above 0                         |
      | tenants[0].maxCount.cpu   | 32    | 0    | 0, or 100 or more               |
      | limits.maxBodyBytes       | -1    | 2    | 0 or more                       |

  Scenario: weights that are all 0 leave no customer a share
    When the file's tenants[0].weight is 0
    And the file's tenants[1].weight is 0
    Then the check exits 2 printing "error: tenants; allowed: weights whose sum is above 0"

  Scenario: warnings alone fail a strict check only
    When the file's routes[0].maxAttempts is 90
    Then the check exits 0 printing "0 errors, 1 warnings"
    And the strict check exits 1 printing "0 errors, 1 warnings"

  Scenario: a public queue without customers is named
    When the file has no tenants
    And the file's routes[0].public is true
    Then the check exits 0 printing "warning: routes[0].public = True"

  Scenario: the difference from another file has items by name, and keys as counts
    Given the file is kept as the earlier version
    When the file's version is 9
    And the file's routes[1].name is "new"
    And the file's routes[0].priority is 3
    And the file's tenants[0].apiKeys is ["k-other", "k-third"]
    And the file's tenants[0].maxCount.cpu is 8000
    Then the check against the earlier version exits 0 printing "0 errors, 0 warnings"
    And it prints "+ 1 queues: new"
    And it prints "- 1 queues: b"
    And it prints "~ queues a: priority: 0 -> 3"
    And it prints "~ customers c1: maxCount.cpu: 4000 -> 8000, keys: +2 -1"
    And it prints "keys of all customers: 2 added, 1 removed"

  Scenario Outline: a version that nodes would not take is an error
    Given the file is kept as the earlier version
    When the file's version is <version>
    Then the check against the earlier version exits 2 printing "version = <version>; allowed: 5 or more"

    Examples:
      | version |
      | 4       |
      | 3       |

  Scenario: a version that drops all customers is a warning
    Given the file is kept as the earlier version
    When the file's version is 9
    And the file has no tenants
    Then the check against the earlier version exits 0 printing "nobody needs a key any more"
    And it prints "- 2 customers: c1, c2"

  Scenario: an earlier file that cannot be read is named
    Given the file is kept as the earlier version
    When the earlier file holds no JSON
    Then the check against the earlier version exits 2 printing "cannot be compared with"

  Scenario Outline: no key is printed, wherever it stands
    Given the file is kept as the earlier version
    When the file's <field> is <value>
    Then neither the text nor the JSON of the check contains "k-one"

    Examples:
      | field              | value                              |
      | version            | 9                                  |
      | tenants            | {"c1": {"apiKeys": ["k-one"]}}     |
      | tenants            | "k-one"                            |
      | tenants[0]         | "k-one"                            |
      | tenants[0].apiKeys | "k-one"                            |
      | tenants[0].apiKeys | [["k-one"], {"k-one": 1}, "k-one "] |
      | tenants[0].weight  | "k-one"                            |
      | tenants[0].maxCount | {"cpu": "k-one"}                  |
      | tenants[1].apiKeys | ["k-one"]                          |

  Scenario: 1400 more queues are checked and listed in short
    Given the file is kept as the earlier version
    When the file's version is 9
    And the file has 1400 more queues
    Then the check against the earlier version exits 0 printing "+ 1400 queues: q-0"
    And it prints "and 1380 more"
