Feature: no input from outside ends a process or raises an undocumented error

  Scenario Outline: generated input is decoded or rejected with the documented error
    Then generated input to the <decoder> decoder is decoded or rejected

    Examples:
      | decoder         |
      | configuration   |
      | registration    |
      | wave            |
      | order answer    |
      | lease report    |
      | VM list         |
      | VM order answer |
      | append answer   |
      | read answer     |
      | newest answer   |
      | request         |
      | key             |

  Scenario Outline: inputs that once raised another error or decoded to unusable values
    Then the <decoder> decoder rejects <value>

    Examples:
      | decoder       | value                                                  |
      | registration  | deep nesting                                           |
      | registration  | undecodable bytes                                      |
      | registration  | an object with state=[]                                |
      | registration  | an object with state="asleep"                          |
      | registration  | an object with service=7                               |
      | registration  | an object with address="host.example:80"               |
      | registration  | an object with address="127.0.0.1"                     |
      | registration  | an object with address="127.0.0.1:0"                   |
      | registration  | an object with address="127.0.0.1:99999"               |
      | registration  | an object with address="127.0.0.1:x"                   |
      | registration  | an object with address="127.0.0.1:8\n"                 |
      | registration  | an object with capacity=[]                             |
      | registration  | an object with capacity={"cpu":-1,"memMb":5}           |
      | registration  | an object with capacity={"cpu":4000,"memMb":-5}        |
      | registration  | an object with capacity={"cpu":1e300,"memMb":5}        |
      | registration  | an object with capacity={"cpu":9000000000000000,"memMb":5} |
      | registration  | an object with capacity={"cpu":true,"memMb":5}         |
      | registration  | an object with labels=["\ud800"]                       |
      | registration  | an object with zone="\ud800"                           |
      | registration  | an object with clockMs=-1                              |
      | registration  | an object under the id i\n0                            |
      | registration  | an object under the id with a name of 240 characters   |
      | configuration | an object with routes=["x"]                            |
      | configuration | an object with services=[7]                            |
      | configuration | an object with tenants=[7]                             |
      | configuration | an object with tenants=[{"name":"a","apiKeys":["\ud800"]}] |
      | configuration | an object with tenants=[{"name":"a","weight":NaN}]     |
      | configuration | deep nesting                                           |
      | wave          | deep nesting                                           |
      | wave          | an object with machines=["\ud800"]                     |
      | wave          | an object with durationS=1e999                         |
      | wave          | an object with a huge durationS                        |
      | order answer  | deep nesting                                           |
      | order answer  | a conflict whose reason is a list                      |
      | lease report  | deep nesting                                           |
      | lease report  | an object with running={"a":1}                         |
      | lease report  | an object with running=["abcd"]                        |
      | lease report  | an object with running=[["j.0.0.1","2","",41]]         |
      | lease report  | an object with running=[["j.0.0.1",true,"",41]]        |
      | lease report  | an object with running=[["j.0.0.1",2,7,41]]            |
      | lease report  | an object with running=[["j.0.0.1",2,"","41"]]         |
      | lease report  | an object with running=[["j.0.0.1",2,"",41,[]]]        |
      | lease report  | an object with running=[["j.0.0.1",2,"",NaN]]          |
      | lease report  | an object with running=[[7,2,"",41]]                   |
      | lease report  | an object with running=[["j.0.0.1",2,"\ud800",41]]     |
      | lease report  | an object with finished=[["1","j.0.0.1",1,"done",""]]  |
      | lease report  | an object with finished=[[0,"j.0.0.1",1,"done",""]]    |
      | lease report  | an object with finished=[[1,null,1,"done",""]]         |
      | lease report  | an object with finished=[[1,"j.0.0.1",1.5,"done",""]]  |
      | lease report  | an object with finished=[[1,"j.0.0.1",1,["done"],""]]  |
      | lease report  | an object with finished=[[1,"j.0.0.1",1,"done",[]]]    |
      | lease report  | a row whose task has 5000 digits                       |
      | VM list       | deep nesting                                           |
      | VM list       | an object with machines={"a":1}                        |
      | VM list       | an object with machines=[7]                            |
      | VM list       | an object with machines=[{"machine":7,"pool":"s","state":"up"}] |
      | VM list       | an object with machines=[{"machine":"m","pool":[],"state":"up"}] |
      | VM list       | an object with machines=[{"machine":"\ud800","pool":"s","state":"up"}] |
      | VM list       | an object with machines=[{"machine":"m","pool":"s","state":"up","id":7}] |
      | VM list       | an object with nextToken=[]                            |
      | newest answer | deep nesting                                           |
      | newest answer | an object with items=[{"offset":"1","key":"k","value":""}] |
      | newest answer | an object with items=[{"offset":1,"key":7,"value":""}] |
      | newest answer | an object with end="9"                                 |
      | request       | deep nesting                                           |
      | request       | an object with spec="\ud800"                           |
      | request       | an object with repeatCount=true                        |
      | request       | an object with a huge repeatCount                      |
      | request       | an object with repeatCount=65537                       |
      | request       | an object with steps=[{"image":"\ud800"}]              |
      | request       | an object with steps=[{"cpu":9900000000000000000}]     |

  Scenario: a VM order's conflict whose reason is a list is refused, not an error
    Then a VM order answered 409 with a list as the reason was REJECTED

  Scenario: a deadline header with too many digits counts as no deadline
    Then a request whose deadline has 5000 digits has no deadline

  Scenario: a token for the next page of VMs that is no URL text is sent quoted
    Then the token "a b\r\nc" of a page of VMs makes a valid request

  Scenario: a list of VMs that never ends is given up
    Then a VM list whose token repeats is refused

  Scenario: the start of an incarnation is a whole number of ms, and 0 for anything else
    Then born is read from registrations, reports and order answers as follows
      | value         | born          |
      | 1764700000123 | 1764700000123 |
      | missing       | 0             |
      | "17647"       | 0             |
      | 17.5          | 0             |
      | true          | 0             |
      | null          | 0             |
      | -5            | 0             |
      | 9000000000000000 | 0          |
      | []            | 0             |
