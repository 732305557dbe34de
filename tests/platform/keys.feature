Feature: keys of customers in requests and in the configuration

  Guards against a request that is served by a key which it does not carry.

  Scenario Outline: the key of a request
    Then a request with <headers> carries the key "<key>"

    Examples: keys
      | headers                          | key |
      | authorization: Bearer k1         | k1  |
      | authorization: bearer k1         | k1  |
      | authorization: BEARER   k1       | k1  |
      | Authorization: bEaReR k1         | k1  |
      | authorization: Bearer a=/+~.-_   | a=/+~.-_ |

    Examples: no key
      | headers                          | key |
      | no headers                       |     |
      | authorization: Bearer            |     |
      | authorization: Basic k1          |     |
      | authorization: k1                |     |
      | authorization: Bearerk1          |     |
      | authorization: Bearer k1 k2      |     |
      | authorization: Bearer\tk1        |     |
      | authorization: Bearer k1\tk2     |     |
      | authorization: Bearer k1\x85     |     |
      | authorization: Bearer \xa0k1     |     |
      | authorization: Bearer k1\x1f     |     |
      | authorization: Bearer k1; authorization: Bearer k1 |  |
      | authorization: Bearer k1; Authorization: Basic k1  |  |
      | x-authorization: Bearer k1       |     |

  Scenario: a key of 512 characters is read, and one of 513 is not
    Then a key of 512 characters is read, and one of 513 is not

  Scenario: any byte may be in a key, and none is taken for another key
    Then every byte after a configured key gives no customer or that key's customer

  Scenario: customers are read from the configuration, with digests in place of keys
    Then the customers of a configuration have their limits, shares and digests

  Scenario Outline: malformed customers are rejected, and no error shows a key
    Then a configuration with tenants <tenants> is rejected without showing a key

    Examples:
      | tenants                                         |
      | {"name":"a","apiKeys":["secret-1"]}             |
      | ["secret-1"]                                    |
      | [{"name":"a","apiKeys":"secret-1"}]             |
      | [{"name":"a","apiKeys":["secret-1",7]}]         |
      | [{"name":"a","apiKeys":["secret-1",""]}]        |
      | [{"name":"a","apiKeys":{"secret-1":1}}]         |
      | [{"name":7,"apiKeys":["secret-1"]}]             |
      | [{"name":"a","apiKeys":["secret-1"],"weight":NaN}] |
      | [{"name":"a","apiKeys":["secret-1"],"weight":-1}]  |
      | [{"name":"a","apiKeys":["secret-1"],"maxCount":{"cpu":"1"}}] |
      | [{"name":"a","apiKeys":["secret-1\ud800"]}]     |
      | null                                            |

  Scenario: the first of two customers with one key has it
    Then the first of two customers with one key has it

  Scenario: the record of a job without a customer has the fields of earlier versions
    Then a job without a customer is stored with 10 fields and one with a customer with 11
    And a record of an earlier version is read as that of a job without a customer
    And the record of a job whose customer is no text is rejected
