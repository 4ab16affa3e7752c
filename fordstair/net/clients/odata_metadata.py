"""The service document, and the metadata document in CSDL XML."""

from __future__ import annotations

from collections.abc import Mapping
from xml.sax.saxutils import quoteattr

from fordstair.net.clients.odata_messages import Response, encode_json
from fordstair.net.clients.odata_model import EntitySet

XML = "application/xml"


def service_document(root: str, sets: Mapping[str, EntitySet]) -> Response:
    """Return the service document, which lists the entity sets."""
    listed = [{"name": name, "kind": "EntitySet", "url": name} for name in sets]
    return Response(200, encode_json({"@odata.context": f"{root}/$metadata", "value": listed}))


def metadata_document(sets: Mapping[str, EntitySet]) -> Response:
    """Return the metadata document, which describes the types of the entity sets."""
    types = "".join(_entity_type(entity_set) for entity_set in sets.values())
    container = "".join(_container_entry(entity_set) for entity_set in sets.values())
    text = (
        '<?xml version="1.0" encoding="UTF-8"?>'
        '<edmx:Edmx xmlns:edmx="http://docs.oasis-open.org/odata/ns/edmx" Version="4.01">'
        "<edmx:DataServices>"
        '<Schema xmlns="http://docs.oasis-open.org/odata/ns/edm" Namespace="fordstair">'
        f'{types}<EntityContainer Name="Container">{container}</EntityContainer>'
        "</Schema></edmx:DataServices></edmx:Edmx>"
    )
    return Response(200, text.encode(), {"Content-Type": XML})


def _entity_type(entity_set: EntitySet) -> str:
    properties = "".join(
        f'<Property Name={quoteattr(column)} Type="Edm.String" '
        f'Nullable="{"false" if column == entity_set.key else "true"}"/>'
        for column in entity_set.columns
    )
    return (
        f"<EntityType Name={quoteattr(entity_set.name + 'Row')}><Key><PropertyRef "
        f"Name={quoteattr(entity_set.key)}/></Key>{properties}</EntityType>"
    )


def _container_entry(entity_set: EntitySet) -> str:
    entity_type = quoteattr("fordstair." + entity_set.name + "Row")
    return f"<EntitySet Name={quoteattr(entity_set.name)} EntityType={entity_type}/>"
