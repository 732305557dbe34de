Feature: clients outside the limits

  Background:
    Given the emulated platform and one node with 100 MB, as processes

  Scenario: bodies far over the limit are announced and sent
    When 300 clients announce 10000000000 bytes and send without an end
    Then the node lives within its memory and serves an ordinary job

  Scenario: bodies over the limit of the configuration are sent short of their end
    When 150 clients announce 1000000 bytes and send all but one
    Then the node lives within its memory and serves an ordinary job

  Scenario: bodies within the limit are sent short of their end
    When 600 clients announce 262144 bytes and send all but one
    Then the node lives within its memory and serves an ordinary job

  Scenario: chunked bodies have no end
    When 300 clients send chunks of 16000 bytes without an end
    Then the node lives within its memory and serves an ordinary job

  Scenario: chunked bodies of 1-byte chunks have no end
    When 40 clients send chunks of 1 byte without an end
    Then the node lives within its memory and serves an ordinary job

  Scenario: heads of many short headers are followed by no body
    When 300 clients send 3000 headers and announce 10 bytes
    Then the node lives within its memory and serves an ordinary job

  Scenario: jobs with large bodies wait for the store
    Given the store does not answer
    When 400 clients submit jobs of 250000 bytes
    And the store answers again
    Then the node lives within its memory and serves an ordinary job

  Scenario: clients leave while their large jobs wait for the store
    Given the store does not answer
    When 400 clients submit jobs of 250000 bytes and leave, 20 at a time
    And the store answers again
    Then the node lives within its memory and serves an ordinary job

  Scenario: data is sent behind requests that wait for the store
    Given the store does not answer
    When 200 clients submit a job and send 2000000 bytes behind it
    And the store answers again
    Then the node lives within its memory and serves an ordinary job

  Scenario: the answers to pipelined requests are not read
    When 40 clients send 2000 requests each and read nothing
    Then the node lives within its memory and serves an ordinary job

  Scenario: clients connect and send nothing
    When 300 clients connect and send nothing
    Then the node lives within its memory and serves an ordinary job

  Scenario: a client goes on sending a body that was refused
    When a client announces 1500000 bytes, is refused, and sends all the same
    Then it has read status 413 and the end of the answer
    And the node lives within its memory and serves an ordinary job
