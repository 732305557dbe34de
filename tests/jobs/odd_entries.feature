Feature: odd entries of other writers among those of the executors

  Scenario: generated entries of another writer do not affect executors beside them
    Then an executor is used after generated entries are read in a page and in the log

  Scenario: a node as a process follows the list of executors after odd entries
    Given an emulated platform whose list has odd entries before that of an executor
    And a node as a process
    Then a job is completed on that executor
    When odd entries and then that of another executor are written
    And the entry of the first executor is replaced by odd ones, then written again
    Then a job that needs both executors is completed on them
    And the process runs, and has reported no error

  Scenario Outline: a task that may be placed at an address nobody listens on is run elsewhere
    Given an emulated platform with an executor and an entry with address <address>
    And a node as a process
    Then a job of 8 tasks is completed on that executor
    And the process runs, and has reported no error

    Examples:
      | address           |
      | 127.0.0.08:80     |
      | 127.0.0.1:00000   |
      | 255.255.255.255:9 |
      | 224.0.0.1:9       |
      | 0.0.0.0:1         |

  Scenario Outline: an address whose numbers have leading zeros is no address
    Then an entry with address <address> is refused

    Examples:
      | address         |
      | 127.0.0.08:80   |
      | 010.0.0.1:80    |
      | 127.0.0.00:80   |
      | 127.0.0.1:00000 |
      | 127.0.0.1:00080 |

  Scenario: an entry whose key ends with a slash and the id of an executor is another's
    Given an executor that runs a task
    When odd entries and deletions are written under keys that end with "/" and its id
    Then the next task is started on it

  Scenario Outline: a list with a key that is not UTF-8 is loaded
    Given a list of executors in which the key of an odd entry is <key>
    When the list is loaded
    Then the executors beside it are listed

    Examples:
      | key                      |
      | an unpaired surrogate    |
      | bytes that are not UTF-8 |
      | empty                    |

  Scenario Outline: a load ends when a page of the store has no further key
    Given a store whose every page of executors has more, and the key <key> last
    When the list is loaded page by page
    Then it was loaded with at most 3 calls, and no executor was taken off the list

    Examples:
      | key   |
      | i-2   |
      | empty |

  Scenario Outline: an entry with a field of another type names no executor
    Then an entry with <field> = <value> is refused

    Examples:
      | field           | value       |
      | slots           | "8"         |
      | slots           | [8]         |
      | slots           | 1e400       |
      | slots           | true        |
      | sequence        | {}          |
      | sequence        | NaN         |
      | coldRemainingMs | "soon"      |
      | coldRemainingMs | -1e999      |
      | version         | ["v1"]      |
      | version         | "\ud800"    |

  Scenario Outline: an entry holds without fields that the scheduler does not use
    Then an entry with <field> = <value> is an executor's

    Examples:
      | field           | value |
      | slots           | null  |
      | slots           | 8     |
      | coldRemainingMs | 0.5   |
      | version         | "v1"  |
      | version         | 7     |
      | further         | [[]]  |

  Scenario: an entry whose service has 250,000 characters is refused with a short line
    Then it is refused with an error of at most 200 characters

  Scenario: an entry with a start in the future does not outrank later entries of its id
    Given an executor that runs a task
    When an entry under its id says that it starts in 2255
    And its own entry is written again
    Then its task goes on, and the next one is started on it by the same agent

  Scenario: an error in applying one record is logged and costs that record only
    Given an executor that runs a task
    When applying the next 2 of 3 entries written at once raises a RecursionError
    Then the third is applied, and so is one that is written later
    And 2 lines name the key and offset of the record and the error

  Scenario: a wave is carried out beside odd records of operators and odd lists of VMs
    Given an emulated platform whose list has odd entries before that of an executor
    And a node as a process
    Then a job is completed on that executor
    When odd records of operators are written, and odd VMs are listed for 1 s
    And a wave over the VM of that executor is written
    Then the wave is completed, and the VM had one upkeep
    And the process runs, and has reported no error

  Scenario Outline: cardamomctl answers beside odd records
    Given an emulated platform whose list has odd entries before that of an executor
    And a node as a process
    Then a job is completed on that executor
    When odd records are written among those of jobs and of operators
    Then "cardamomctl <command>" ends with <status> and prints <text>
    And the process runs, and has reported no error

    Examples:
      | command       | status | text                         |
      | job list      | 0      | 00000000000000c1             |
      | job queues    | 1      | no configuration is in force |
      | customer list | 1      | the configuration cannot be read |
