"""Define the identifier types that the packages share."""

from typing import NewType

VmId = NewType('VmId', str)
RegionId = NewType('RegionId', str)
ZoneId = NewType('ZoneId', str)
CustomerId = NewType('CustomerId', str)
KeyId = NewType('KeyId', str)
EndpointId = NewType('EndpointId', str)
ServiceId = NewType('ServiceId', str)
ModelId = NewType('ModelId', str)
RequestId = NewType('RequestId', str)
WorkClass = NewType('WorkClass', str)
Revision = NewType('Revision', int)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
FencingToken = NewType('FencingToken', int)
Incarnation = NewType('Incarnation', int)
